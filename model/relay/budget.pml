/* Retries that entries lend one another out of one budget.
 *
 * Each entry has SHARE retries in any window of W ticks. One that has used its share asks
 * another, which takes what it lends off its own share. Requests and answers may be late
 * for any time or be lost, and a request may be handled twice. What was lent may be used
 * until LOAN ticks after it was asked for, and counts at the lender as if it were used at
 * the end of that time.
 *
 * An entry may restart at any moment, any number of times. The new process knows neither
 * what the one before it used and lent nor the other entry, and messages to the process
 * before may still arrive. For YOUNG ticks it has only a part of LEFT_OVER that grows with
 * its age, and nothing before it has heard the other entry. It has heard it by the end of
 * these ticks at the latest.
 *
 * In any window all entries together send at most SHARE for each entry, and LEFT_OVER
 * besides for each that is young.
 *
 * MUTANT_FREE: the lender does not count what it lends.
 * MUTANT_LATE: a loan may be used for LOAN ticks after its arrival.
 * MUTANT_SHORT: the lender counts what it lends from when it lent it.
 * MUTANT_ALONE: a new process takes the shares of all for its own until it hears another.
 * MUTANT_AGAIN: a new process has its share at once.
 * MUTANT_WHOLE: a new process has all of LEFT_OVER at once.
 * MUTANT_WINDOW: a new process has its share after W ticks, while loans may be in use.
 */

#define N 2
#define SHARE 2
#define LEFT_OVER 2
#define W 3
#define LOAN 2
#define KEPT 5          /* W + LOAN */
#ifdef MUTANT_WINDOW
#define YOUNG W
#else
#define YOUNG KEPT
#endif

byte used[6];           /* N * W: own retries by entry and age */
byte lent[10];          /* N * KEPT: retries lent by entry and age */
byte sent[W];           /* retries of all entries by age */
bool asked[N];          /* a request is on its way to the other entry */
bool answered[N];       /* its answer is on its way back */
byte since[N];          /* ticks since it was asked for, LOAN for any longer time */
byte loan[N];           /* ticks for which a loan may be used, 0 without one */
byte young[N];          /* ticks until a new process has its share */
bool alone[N];          /* whether it has not heard the other entry */

#define own(e) (used[e * W] + used[e * W + 1] + used[e * W + 2])
#ifdef MUTANT_FREE
#define given(e) 0
#else
#ifdef MUTANT_SHORT
#define given(e) (lent[e * KEPT] + lent[e * KEPT + 1] + lent[e * KEPT + 2])
#else
#define given(e) (lent[e * KEPT] + lent[e * KEPT + 1] + lent[e * KEPT + 2] \
    + lent[e * KEPT + 3] + lent[e * KEPT + 4])
#endif
#endif
#ifdef MUTANT_WHOLE
#define part(e) LEFT_OVER
#else
#define part(e) (LEFT_OVER * (YOUNG - young[e]) / YOUNG)
#endif
#ifdef MUTANT_ALONE
#define share(e) (alone[e] -> N * SHARE : SHARE)
#else
#ifdef MUTANT_AGAIN
#define share(e) SHARE
#else
#define share(e) (young[e] == 0 -> SHARE : (alone[e] -> 0 : part(e)))
#endif
#endif
#define left(e) (own(e) + given(e) < share(e))

#define besides(e) (young[e] > 0 -> LEFT_OVER : 0)

inline keep() {
    assert(sent[0] + sent[1] + sent[2] <= N * SHARE + besides(0) + besides(1))
}

/* Lets a new process take the place of an entry. */
inline restart(e) {
    used[e * W] = 0; used[e * W + 1] = 0; used[e * W + 2] = 0;
    lent[e * KEPT] = 0; lent[e * KEPT + 1] = 0; lent[e * KEPT + 2] = 0;
    lent[e * KEPT + 3] = 0; lent[e * KEPT + 4] = 0;
    loan[e] = 0;
    young[e] = YOUNG;
    alone[e] = true
}

active [N] proctype Entry() {
    byte me = _pid;
    byte other = 1 - _pid;
    do
    :: atomic { restart(me) }
    :: atomic { alone[me] -> alone[me] = false }
    :: atomic { left(me) -> used[me * W]++; sent[0]++; keep() }
    :: atomic { loan[me] > 0 -> loan[me] = 0; sent[0]++; keep() }
    :: atomic { !left(me) && loan[me] == 0 && !asked[me] && !answered[me] ->
        asked[me] = true; since[me] = 0 }
    :: atomic { asked[other] && left(me) -> lent[me * KEPT]++;
        if
        :: asked[other] = false; answered[other] = true
        :: asked[other] = false                 /* the answer is lost */
        :: skip                                 /* handled once more */
        fi }
    :: atomic { asked[me] -> asked[me] = false }    /* the request is lost */
    :: atomic { answered[me] -> answered[me] = false;
#ifdef MUTANT_LATE
        loan[me] = LOAN
#else
        loan[me] = LOAN - since[me]
#endif
        }
    od
}

active proctype Time() {
    byte e;
    do
    :: atomic {
        sent[2] = sent[1]; sent[1] = sent[0]; sent[0] = 0;
        e = 0;
        do
        :: e < N ->
            used[e * W + 2] = used[e * W + 1];
            used[e * W + 1] = used[e * W];
            used[e * W] = 0;
            lent[e * KEPT + 4] = lent[e * KEPT + 3];
            lent[e * KEPT + 3] = lent[e * KEPT + 2];
            lent[e * KEPT + 2] = lent[e * KEPT + 1];
            lent[e * KEPT + 1] = lent[e * KEPT];
            lent[e * KEPT] = 0;
            if
            :: loan[e] > 0 -> loan[e]--
            :: else
            fi;
            if
            :: young[e] > 0 -> young[e]--;
                if
                :: young[e] == 0 -> alone[e] = false
                :: else
                fi
            :: else
            fi;
            if
            :: (asked[e] || answered[e]) && since[e] < LOAN -> since[e]++
            :: else
            fi;
            e++
        :: else -> break
        od;
        e = 0 }
    od
}
