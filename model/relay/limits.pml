/* Permits to send to an endpoint that takes one request in P ticks from all entries.
 *
 * One entry is the issuer of the endpoint's permits, and times them P ticks apart. The
 * others ask it. Requests may be late for any time or be lost, answers may be lost, and a
 * request may be handled twice. A permit must be used within LIFE ticks of when it was
 * asked for, so a late answer is a permit that is used late.
 *
 * Entries 0 and 1 may be the issuer; entry 2 asks. Each has a view of who is. Views change
 * one at a time, so for some time two entries may both take themselves for the issuer, or
 * none. At most SILENT ticks after a view has changed all agree again, and stay so for a
 * window. An issuer that has restarted or that others did not take for it begins empty. It
 * gives itself at most every other permit: what it does alone, because the others do not
 * hear it, is half of the limit.
 *
 * In any window the endpoint gets at most one and a half times what it takes, and one
 * request besides.
 *
 * MUTANT_FULL: a new issuer gives a permit at once.
 * MUTANT_LATE: a permit may be used at any time after it arrived.
 * MUTANT_VIEW: an entry gives permits whoever is the issuer in its view.
 * MUTANT_EVERY: permits are not apart; each that asks gets one.
 */

#define N 3
#define P 2
#define W 4
#define LIFE 2
#define SILENT 1
#define ALLOWED 4       /* 3 * W / (2 * P) + 1 */

byte view[N];           /* who is the issuer, as each entry sees it */
byte gap[2];            /* ticks since an issuer's last permit, P for any longer time */
bool own[2];            /* whether that permit was for the issuer itself */
bool asked[N];          /* a request is on its way */
byte asks[N];           /* to whom */
byte since[N];          /* ticks since it was asked for, LIFE for any longer time */
byte permit[N];         /* ticks for which a permit may be used, 0 without one */
byte sent[W];           /* requests that the endpoint got by age */
byte split;             /* ticks for which views differ */
byte calm = W;          /* ticks for which all agree */

#define agree (view[0] == view[1] && view[1] == view[2])

inline keep() {
    assert(sent[0] + sent[1] + sent[2] + sent[3] <= ALLOWED)
}

#ifdef MUTANT_FULL
#define FRESH P
#else
#define FRESH 0
#endif

/* Lets an entry see another one as the issuer. */
inline see(e, issuer) {
    if
    :: issuer == e && view[e] != e -> gap[e] = FRESH; own[e] = false
    :: else
    fi;
    view[e] = issuer
}

#ifdef MUTANT_VIEW
#define issues(i) true
#else
#define issues(i) (view[i] == i)
#endif
#ifdef MUTANT_EVERY
#define due(i) true
#else
#define due(i) (gap[i] >= P)
#endif

active [N] proctype Entry() {
    byte me = _pid;
    do
    :: atomic { permit[me] == 0 && !asked[me] && view[me] != me ->
        asked[me] = true; asks[me] = view[me]; since[me] = 0 }
    :: atomic { asked[me] -> asked[me] = false }            /* the request is lost */
    :: atomic { asked[me] && issues(asks[me]) && due(asks[me]) ->
        gap[asks[me]] = 0; own[asks[me]] = false;
        if
        :: asked[me] = false; permit[me] = LIFE - since[me]
        :: asked[me] = false                                /* the answer is lost */
        :: skip                                             /* handled once more */
        fi }
    :: atomic { me < 2 && view[me] == me && permit[me] == 0 && due(me) && !own[me] ->
        gap[me] = 0; own[me] = true; permit[me] = LIFE }
    :: atomic { permit[me] > 0 -> permit[me] = 0; sent[0]++; keep() }
    od
}

active proctype Views() {
    do
    :: atomic { calm == W || split > 0 ->
        if
        :: skip; see(0, 0)
        :: skip; see(0, 1)
        :: skip; see(1, 0)
        :: skip; see(1, 1)
        :: skip; see(2, 0)
        :: skip; see(2, 1)
        fi;
        if
        :: agree -> split = 0
        :: !agree && split == 0 -> split = 1; calm = 0
        :: else
        fi }
    od
}

active proctype Time() {
    byte e;
    do
    :: atomic { split <= SILENT ->
        sent[3] = sent[2]; sent[2] = sent[1]; sent[1] = sent[0]; sent[0] = 0;
        e = 0;
        do
        :: e < N ->
            if
#ifndef MUTANT_LATE
            :: permit[e] > 0 -> permit[e]--
#endif
            :: else
            fi;
            if
            :: asked[e] && since[e] < LIFE -> since[e]++
            :: else
            fi;
            if
            :: e < 2 && gap[e] < P -> gap[e]++
            :: else
            fi;
            if
            :: e < 2 && gap[e] >= P && own[e] && view[e] != e -> own[e] = false
            :: else
            fi;
            e++
        :: else -> break
        od;
        e = 0;
        if
        :: split > 0 -> split++
        :: split == 0 && calm < W -> calm++
        :: else
        fi }
    od
}
