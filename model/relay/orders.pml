/* Orders without an answer, and the ones given after them.
 *
 * The holder orders a server to hold layers. Any order may stay in the network for as
 * long as it likes, and any answer may be lost; the holder then gives another order,
 * perhaps for other layers. Each order names how many orders the server must have
 * accepted before it, as far as the holder knows; the server rejects any other number.
 * A holder whose order was rejected asks for the number. The server loads layers once
 * for each decision of the holder that it may act on: two orders for one and the same
 * state of the server are never both carried out.
 *
 * MUTANT_ANY: orders name no number.
 */

#define ORDERS 4

byte accepted = 0;          /* orders that the server has accepted */
byte carried[ORDERS];       /* orders carried out that were given for each number */
bool away[ORDERS];          /* an order is in the network */
byte named[ORDERS];         /* the number that it names */
bool answered[ORDERS];      /* the holder learns what became of it */
bool begun[ORDERS];         /* that it was carried out */

proctype Holder() {
    byte known = 0;         /* orders accepted, as far as the holder knows */
    byte next = 0;
    do
    :: next < ORDERS ->
        atomic { named[next] = known; away[next] = true };
        if
        :: atomic { answered[next] ->
            if
            :: begun[next] -> known++
            :: else -> known = accepted     /* it was rejected: ask */
            fi }
        :: true -> skip                     /* no answer in time */
        fi;
        next++
    :: else -> break
    od
}

proctype Server() {
    byte which;
    do
    :: atomic {
        if
        :: away[0] -> which = 0
        :: away[1] -> which = 1
        :: away[2] -> which = 2
        :: away[3] -> which = 3
        fi;
        away[which] = false;
        if
#ifndef MUTANT_ANY
        :: named[which] != accepted -> skip
#endif
#ifdef MUTANT_ANY
        :: true ->
#else
        :: named[which] == accepted ->
#endif
            accepted++;
            begun[which] = true;
            carried[named[which]]++;
            assert(carried[named[which]] <= 1);
            assert(named[which] + 1 >= accepted)
        fi;
        answered[which] = true }
    :: timeout -> break
    od
}

init {
    atomic { run Holder(); run Server() }
}
