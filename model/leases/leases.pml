/* Leases and fencing numbers.
 *
 * Two instances take turns at one duty. The log is a sequence of acquiring records;
 * a record is valid if no other stands between what its writer had seen and its own
 * place. A lease may lapse at any moment, also while its holder is paused between
 * its check and its order, and the order may be late in the network. The answer to
 * an append may be lost; the writer decides by reading. An agent passes orders to its
 * engine and may restart, which makes it forget the highest number. One agent stands
 * for all: they share nothing but the log.
 *
 * MUTANT_FORGET: an agent that restarted does not learn the number from the log.
 * MUTANT_UNFENCED: an agent passes orders without a look at their number.
 */

#define INSTANCES 2
#define AGENTS 1
#define LAST 4          /* records that the log takes */
#define NONE 255

byte writer[LAST];      /* who wrote the record */
bool valid[LAST];
byte length = 0;        /* records in the log */
byte in_force = NONE;   /* number whose lease has not lapsed */

byte highest[AGENTS];   /* highest number known; 0 stands for none, n + 1 for n */
bool learned[AGENTS];
byte executed[AGENTS];  /* number of the last order that the engine carried out */
byte restarts = 0;

/* Orders on their way to the agent: one place for each instance. */
byte wire[INSTANCES];

proctype Instance(byte me) {
    byte seen, number, place;
    do
    :: length < LAST && in_force == NONE ->
        /* The last lease has lapsed, as far as this instance has waited it out. */
        seen = length;
        /* The append may come later: another record may have landed. */
        if
        :: atomic {
            length < LAST ->
            place = length;
            writer[place] = me;
            valid[place] = (seen == length);
            length++;
            if
            :: valid[place] -> in_force = place
            :: else -> skip
            fi
        }
        :: length >= LAST -> break
        :: skip -> goto next    /* the record was lost on its way */
        fi;
        /* Read back: the answer, lost or not, plays no part. */
        if
        :: !valid[place] -> goto next
        :: else -> number = place
        fi;
        do
        :: in_force == number ->
            /* The check holds here; the pause may come between it and the send. */
            atomic {
                if
                :: wire[me] == 0 -> wire[me] = number + 1
                :: else -> skip
                fi
            }
        :: in_force != number -> break
        od;
next:   skip
    :: length >= LAST -> break
    od
}

/* Time: a lease lapses whether or not its holder is paused. */
proctype Clock() {
    do
    :: atomic { in_force != NONE -> in_force = NONE }
    :: length >= LAST && in_force == NONE -> break
    od
}

inline learn(agent) {
    byte at = 0;
    at = 0;
    do
    :: at < length ->
        if
        :: valid[at] && highest[agent] < at + 1 -> highest[agent] = at + 1
        :: else -> skip
        fi;
        at++
    :: else -> break
    od;
    learned[agent] = true;
    at = 0
}

proctype Agent(byte me) {
    byte from, number;
end:
    do
    :: atomic {
        !learned[me] ->
#ifdef MUTANT_FORGET
        learned[me] = true
#else
        learn(me)
#endif
    }
    :: atomic {
        learned[me] && (wire[0] != 0 || wire[1] != 0) ->
        if
        :: wire[0] != 0 -> from = 0
        :: wire[1] != 0 -> from = 1
        fi;
        number = wire[from];
        /* A copy may stay on the wire, to be delivered again. */
        if
        :: wire[from] = 0
        :: skip
        fi;
#ifdef MUTANT_UNFENCED
        if
        :: true ->
#else
        if
        :: number < highest[me] -> skip
        :: else ->
#endif
            highest[me] = number;
            /* The engine itself ignores numbers. */
            assert(number >= executed[me]);
            executed[me] = number
        fi;
        from = 0;
        number = 0
    }
    :: atomic {
        restarts < 2 && learned[me] ->
        restarts++;
        highest[me] = 0;
        learned[me] = false
    }
    od
}

init {
    atomic {
        run Instance(0);
        run Instance(1);
        run Clock();
        run Agent(0)
    }
}
