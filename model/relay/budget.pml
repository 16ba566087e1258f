/* Retries that entries lend one another out of one budget.
 *
 * In any window of W ticks all entries together may send at most N * SHARE retries. Each
 * has a share of its own. One that has used its share asks another, which takes what it
 * lends off its own share. Requests and answers may be late for any time or be lost, and
 * a request may be handled twice. What was lent may be used until LOAN ticks after it
 * was asked for, and counts at the lender as if it were used at the end of that time.
 *
 * MUTANT_FREE: the lender does not count what it lends.
 * MUTANT_LATE: a loan may be used for LOAN ticks after its arrival.
 * MUTANT_SHORT: the lender counts what it lends from when it lent it.
 */

#define N 2
#define SHARE 2
#define W 3
#define LOAN 2
#define KEPT 5          /* W + LOAN */

byte used[6];           /* N * W: own retries by entry and age */
byte lent[10];          /* N * KEPT: retries lent by entry and age */
byte sent[W];           /* retries of all entries by age */
bool asked[N];          /* a request is on its way to the other entry */
bool answered[N];       /* its answer is on its way back */
byte since[N];          /* ticks since it was asked for, LOAN for any longer time */
byte loan[N];           /* ticks for which a loan may be used, 0 without one */

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
#define left(e) (own(e) + given(e) < SHARE)

inline keep() {
    assert(sent[0] + sent[1] + sent[2] <= N * SHARE)
}

active [N] proctype Entry() {
    byte me = _pid;
    byte other = 1 - _pid;
    do
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
            :: (asked[e] || answered[e]) && since[e] < LOAN -> since[e]++
            :: else
            fi;
            e++
        :: else -> break
        od;
        e = 0 }
    od
}
