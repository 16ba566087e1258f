/* One opaque key, two homes that each believe to be its home, the log.
 *
 * A claim is appended and read back before the run; the first claim of the log that was
 * not given back before wins. Appends come late, also after a timeout or a restart of
 * their writer, and once more as a copy; their answers do not matter.
 *
 * Property: the key's request runs at most once.
 *
 * Mutant: NO_READ_BACK (a home runs as soon as its append is sent).
 */

#define AGENTS 2
#define RECORDS 6

mtype = { free, claiming, running, given_back, lost };

mtype claim[AGENTS];
byte incarnation[AGENTS];
byte writer_of[AGENTS];     /* incarnation that sent the append in flight */
bool in_flight[AGENTS];
bool copy_left[AGENTS];
bool release_waits[AGENTS];
byte reading[AGENTS];       /* next record to read */

byte log_agent[RECORDS];
byte log_incarnation[RECORDS];
bool log_release[RECORDS];
byte end_of_log;
byte runs;

/* The claim that holds at an agent while it reads: writer + 1, or 0 for none. */
byte winner[AGENTS];

inline append(HOME, INCARNATION, RELEASE) {
  log_agent[end_of_log] = HOME;
  log_incarnation[end_of_log] = INCARNATION;
  log_release[end_of_log] = RELEASE;
  end_of_log++
}

hidden byte w;

#define name(a, i) (1 + a * 2 + i)

proctype home(byte a) {
  do
  :: atomic { claim[a] == free && winner[a] == 0 ->
       writer_of[a] = incarnation[a];
       in_flight[a] = true;
       copy_left[a] = true;
#ifdef NO_READ_BACK
       claim[a] = running;
       runs++;
       assert(runs <= 1)
#else
       claim[a] = claiming
#endif
     }
  /* The append takes effect, or is lost; a copy of it may come later. */
  :: atomic { in_flight[a] && end_of_log < RECORDS ->
       in_flight[a] = false;
       append(a, writer_of[a], false) }
  :: atomic { copy_left[a] && end_of_log < RECORDS ->
       copy_left[a] = false;
       append(a, writer_of[a], false) }
  /* The caller is given up: the claim is given back, in the order of the journal. */
  :: atomic { claim[a] == claiming ->
       claim[a] = given_back;
       release_waits[a] = true }
  :: atomic { release_waits[a] && !in_flight[a] && end_of_log < RECORDS ->
       release_waits[a] = false;
       append(a, writer_of[a], true) }
  /* A home reads the next record; its own claim, if it is the first, may run. */
  :: atomic { reading[a] < end_of_log ->
       w = name(log_agent[reading[a]], log_incarnation[reading[a]]);
       if
       :: log_release[reading[a]] && winner[a] == w -> winner[a] = 0
       :: !log_release[reading[a]] && winner[a] == 0 -> winner[a] = w
       :: else -> skip
       fi;
       reading[a]++;
       if
       :: claim[a] == claiming && winner[a] == name(a, incarnation[a]) ->
          claim[a] = running;
          runs++;
          assert(runs <= 1)
       :: claim[a] == claiming && winner[a] != 0 &&
          winner[a] != name(a, incarnation[a]) -> claim[a] = lost
       :: else -> skip
       fi }
  /* A restart forgets everything and reads the log from its start. */
  :: atomic { incarnation[a] == 0 ->
       incarnation[a] = 1;
       claim[a] = free;
       release_waits[a] = false;
       winner[a] = 0;
       reading[a] = 0 }
  od
}

init {
  atomic {
    claim[0] = free;
    claim[1] = free;
    run home(0);
    run home(1)
  }
}
