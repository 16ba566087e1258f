/* One time-ordered key, two agents, two entries, the log: attempt, revoke, claim, move.
 *
 * Every atomic step is one action of one process. Messages are lost, come late, and
 * one comes once more as a stray copy. Agents restart and forget; an entry that is lost
 * takes no further step. docs/design/claims.md maps each step to the code.
 *
 * Properties: the key's request runs at most once; a call that was called not run has
 * not run and never will.
 *
 * Mutants: NO_INCARNATION_CHECK, NO_REVOCATION_KEPT, NO_WINDOW, NO_TENURE, NO_FLUSH.
 */

#define AGENTS 2
#define CALLS 2
#define TENANCIES 2         /* the homes move once */
#define RESTARTS 1          /* one agent restarts, whenever it likes */

mtype = { idle, sent, timed_out, not_run, ended };

/* Agents: incarnation, and memory that a restart clears. */
byte incarnation[AGENTS];
bool known[AGENTS];        /* the key is in the book */
bool pending[AGENTS];      /* its claim is not yet in the log */
bool yielding[AGENTS];
bool revoked[4];           /* agent * CALLS + call */
bool started[4];
byte agent_view[AGENTS];   /* newest tenancy the agent has read */
bool readable[AGENTS];     /* journal read to its end since then */

/* The log: tenancies in order, and the journal. */
byte current;              /* index of the newest tenancy, its epoch */
byte holder[TENANCIES];
byte holder_incarnation[TENANCIES];
bool within[TENANCIES];    /* the key's time is not after the end of the tenure */
bool exact[TENANCIES];     /* handed over with the whole journal in the log */
bool covers[TENANCIES];    /* the key's time lies before the end of the tenancy */
bool claimed_in_log;

/* Entries: one call each, under the same key. */
mtype call_state[CALLS];
byte call_epoch[CALLS];
bool original_gone[CALLS]; /* delivered or lost */
bool copy_gone;            /* one stray copy in all */
byte restarts;

hidden mtype answer;       /* scratch within one step */
hidden byte i;

bool minted;               /* the key exists */
bool closed;               /* its prompt window is over */
byte runs;
bool call_ran[CALLS];

#define target(c) holder[call_epoch[c]]
#define target_incarnation(c) holder_incarnation[call_epoch[c]]

#ifdef NO_INCARNATION_CHECK
#define meant_for(c, a) true
#else
#define meant_for(c, a) (target_incarnation(c) == incarnation[a])
#endif

#ifdef NO_TENURE
#define in_tenure(t) true
#else
#define in_tenure(t) within[t]
#endif

#ifdef NO_FLUSH
#define flushed(a) true
#else
#define flushed(a) (!pending[a])
#endif

#define holds(a, t) (holder[t] == a && holder_incarnation[t] == incarnation[a])

#ifdef NO_WINDOW
#define hides(a, t) false
#else
#define hides(a, t) (t < agent_view[a] && !exact[t] && covers[t] && !holds(a, t))
#endif

inline check() {
  assert(runs <= 1);
  assert(!(call_state[0] == not_run && call_ran[0]));
  assert(!(call_state[1] == not_run && call_ran[1]))
}

/* The call starts: the endpoint gets it, or surely refuses the connection. */
inline start(CALL, AGENT) {
  if
  :: started[AGENT * CALLS + CALL] = true;
     runs++;
     call_ran[CALL] = true;
     known[AGENT] = true;
     answer = ended
  :: refuse(CALL, AGENT)
  fi
}

/* A refusal called not run blocks late copies of the call. */
inline refuse(CALL, AGENT) {
  revoked[AGENT * CALLS + CALL] = true;
  answer = not_run
}

/* ClaimBook.claim at agent a, and the run that it permits. */
inline claim(CALL, AGENT) {
  if
  :: agent_view[AGENT] != call_epoch[CALL] || !readable[AGENT] ||
     !holds(AGENT, agent_view[AGENT]) -> refuse(CALL, AGENT)
  :: else ->
     if
     :: known[AGENT] -> answer = ended
     :: !known[AGENT] && (yielding[AGENT] || !in_tenure(agent_view[AGENT])) ->
        refuse(CALL, AGENT)
     :: !known[AGENT] && !yielding[AGENT] && in_tenure(agent_view[AGENT]) ->
        if
        :: hides(AGENT, 0) -> answer = ended
        :: else ->
           if
           :: !closed ->
              start(CALL, AGENT);
              pending[AGENT] = pending[AGENT] || known[AGENT]
           :: closed && claimed_in_log -> known[AGENT] = true; answer = ended
           :: closed && !claimed_in_log -> claimed_in_log = true; start(CALL, AGENT)
           fi
        fi
     fi
  fi
}

/* CallRunner.run: the incarnation, then revocations, then the claim. */
inline deliver(CALL, AGENT) {
  if
  :: !meant_for(CALL, AGENT) -> answer = not_run
  :: meant_for(CALL, AGENT) && revoked[AGENT * CALLS + CALL] -> answer = not_run
  :: meant_for(CALL, AGENT) && !revoked[AGENT * CALLS + CALL] -> claim(CALL, AGENT)
  fi
}

/* The first valid record on top of the newest one decides; others have no effect. */
inline move_to(AGENT, EXACT, COVERED) {
  exact[current] = EXACT;
  covers[current] = COVERED;
  current++;
  holder[current] = AGENT;
  holder_incarnation[current] = incarnation[AGENT];
  if
  :: within[current] = true
  :: within[current] = false
  fi
}

/* An entry with one call, and the network between it and the agents. */
proctype entry(byte c) {
  do
  :: atomic { call_state[c] == idle && (c == 0 || call_state[0] != idle) ->
       minted = true;
       if
       :: call_epoch[c] = current
       :: current > 0 -> call_epoch[c] = current - 1
       fi;
       call_state[c] = sent }
  :: atomic { call_state[c] == sent -> call_state[c] = timed_out }
  /* The original is delivered, with or without its reply, or lost. */
  :: atomic { call_state[c] != idle && !original_gone[c] ->
       original_gone[c] = true;
       if
       :: deliver(c, target(c));
          if
          :: call_state[c] == sent -> call_state[c] = answer
          :: true
          fi
       :: true
       fi;
       check() }
  /* A stray copy; nobody gets its reply. */
  :: atomic { original_gone[c] && !copy_gone ->
       copy_gone = true;
       deliver(c, target(c));
       check() }
  /* A revocation, as often as it is sent; its reply may be lost. */
  :: atomic { call_state[c] == timed_out ->
       if
       :: !meant_for(c, target(c)) -> answer = ended
       :: meant_for(c, target(c)) ->
#ifndef NO_REVOCATION_KEPT
          revoked[target(c) * CALLS + c] = true;
#endif
          answer = (started[target(c) * CALLS + c] -> ended : not_run)
       fi;
       if
       :: call_state[c] = answer
       :: true
       fi;
       check() }
  od
}

proctype agent(byte a) {
  do
  /* A restart forgets. */
  :: atomic { incarnation[a] == 0 && restarts < RESTARTS ->
       restarts++;
       incarnation[a] = 1;
       known[a] = false;
       pending[a] = false;
       yielding[a] = false;
       readable[a] = false;
       agent_view[a] = 0;
       for (i : 0 .. 1) {
         revoked[a * CALLS + i] = false;
         started[a * CALLS + i] = false
       } }
  /* It follows the homes, and reads the journal again after each change. */
  :: atomic { agent_view[a] < current ->
       agent_view[a]++;
       readable[a] = false }
  :: atomic { !readable[a] ->
       readable[a] = true;
       known[a] = known[a] || claimed_in_log }
  /* It writes its journal. */
  :: atomic { pending[a] ->
       pending[a] = false;
       claimed_in_log = true }
  /* It gives its shards up. */
  :: atomic { holds(a, agent_view[a]) && !yielding[a] -> yielding[a] = true }
  :: atomic { current < TENANCIES - 1 && yielding[a] && agent_view[a] == current &&
              holds(a, current) && flushed(a) -> move_to((1 - a), true, false) }
  od
}

/* The key's time, and the entries' proposals of homes. */
proctype world() {
  do
  :: atomic { minted && !closed -> closed = true }
  /* A newer incarnation was seen. */
  :: atomic { current < TENANCIES - 1 &&
              incarnation[holder[current]] > holder_incarnation[current] ->
       if
       :: move_to(0, false, minted)
       :: move_to(1, false, minted)
       fi }
  /* The tenure ran out; the old home may be alive. */
  :: atomic { current < TENANCIES - 1 ->
       if
       :: move_to(0, false, within[current])
       :: move_to(1, false, within[current])
       fi }
  od
}

init {
  atomic {
    call_state[0] = idle;
    call_state[1] = idle;
    readable[0] = true;
    readable[1] = true;
    if
    :: within[0] = true
    :: within[0] = false
    fi;
    run entry(0);
    run entry(1);
    run agent(0);
    run agent(1);
    run world()
  }
}
