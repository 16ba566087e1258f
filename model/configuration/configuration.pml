/* Acceptance of configuration: a log with retention, replicas, publishers.
 *
 * Checked: a replica never goes back to an older version; each version has one
 * winner, the same on every replica; an answer "accepted" or "conflict" stays true
 * for ever, although answers of the log get lost and records are appended twice.
 *
 * Mutants, each of which must fail:
 *   MUTANT_GAP       a reader goes on behind records that it has lost
 *   MUTANT_SNAPSHOT  a reader starts from a snapshot that does not cover the gap
 *   MUTANT_CONFLICT  a publisher takes "not seen yet" for "not published"
 */

#ifndef SNAPSHOTS
#define SNAPSHOTS  1   /* snapshots that are appended at the most */
#endif
#ifndef RESTARTS
#define RESTARTS   1   /* processes that are replaced at the most */
#endif
#ifndef REPEATER
#define REPEATER   0   /* the publisher that may append twice, 0 for none */
#endif
#ifndef PUBLISHERS
#define PUBLISHERS 3
#endif
#define REPLICAS   2
#define SLOTS      5   /* records that the log may get */
#define VERSIONS   4   /* versions 0 .. 3 */
#define OTHER      (1 - r)

typedef Winners { byte id[VERSIONS] };

/* The log. A record with id 0 is a snapshot. */
byte base[SLOTS];
byte id[SLOTS];
byte covers[SLOTS];
Winners snapshot[SLOTS];
byte first = 0;
byte next = 0;

/* The fold of the whole log, which nobody sees. */
byte true_version = 0;
Winners truth;

/* The replicas. */
byte version[REPLICAS];
byte offset[REPLICAS];
bool complete[REPLICAS];
Winners winners[REPLICAS];

hidden byte before;

byte restarts = RESTARTS;
byte snapshots = SNAPSHOTS;

inline append_change(b, i) {
  d_step {
    base[next] = b;
    id[next] = i;
    next++;
    if
    :: b == true_version -> true_version++; truth.id[true_version] = i
    :: else -> skip
    fi
  }
}

inline copy(to, from) {
  to.id[1] = from.id[1];
  to.id[2] = from.id[2];
  to.id[3] = from.id[3]
}

/* What holds for every replica that may serve. */
inline check(r) {
  assert(version[r] <= true_version);
  assert(version[r] < 1 || winners[r].id[1] == truth.id[1]);
  assert(version[r] < 2 || winners[r].id[2] == truth.id[2]);
  assert(version[r] < 3 || winners[r].id[3] == truth.id[3])
}

proctype Replica(byte r) {
  byte s = 0;
end:
  do
  /* Fold the next record; without a gap. */
  :: atomic {
#ifdef MUTANT_GAP
       offset[r] < next ->
       if :: offset[r] < first -> offset[r] = first :: else -> skip fi;
#else
       offset[r] >= first && offset[r] < next ->
#endif
       if
       :: offset[r] < next && id[offset[r]] != 0 && base[offset[r]] == version[r] ->
            version[r]++;
            winners[r].id[version[r]] = id[offset[r]]
       :: else -> skip
       fi;
       if :: offset[r] < next -> offset[r]++ :: else -> skip fi;
       if
       :: offset[r] == next -> complete[r] = true
       :: else -> skip
       fi;
       if :: complete[r] -> check(r) :: else -> skip fi
     }
  /* The log is empty, or all of it was read: the fold is whole. */
  :: atomic { !complete[r] && offset[r] >= first && offset[r] == next ->
       complete[r] = true;
       check(r)
     }
  /* Records were lost: start from a snapshot that covers them. */
  :: atomic { offset[r] < first ->
       select(s : 0 .. 4);
       if
#ifdef MUTANT_SNAPSHOT
       :: s >= first && s < next && id[s] == 0 && base[s] >= version[r] ->
#else
       :: s >= first && s < next && id[s] == 0 && base[s] >= version[r] &&
          covers[s] >= first ->
#endif
            before = version[r];
            version[r] = base[s];
            copy(winners[r], snapshot[s]);
            offset[r] = covers[s];
#ifdef MUTANT_SNAPSHOT
            if :: offset[r] < first -> offset[r] = first :: else -> skip fi;
#endif
            if
            :: offset[r] == next -> complete[r] = true
            :: else -> skip
            fi;
            assert(version[r] >= before);
            if :: complete[r] -> check(r) :: else -> skip fi
       :: else -> skip
       fi;
       s = 0
     }
  /* Take the fold of a peer that has a newer one, or any if there is none here. */
  :: atomic { complete[OTHER] &&
       (version[OTHER] > version[r] ||
           (version[OTHER] == version[r] &&
               (!complete[r] || offset[OTHER] > offset[r]))) ->
       before = version[r];
       version[r] = version[OTHER];
       copy(winners[r], winners[OTHER]);
       if
       :: offset[OTHER] > offset[r] || !complete[r] -> offset[r] = offset[OTHER]
       :: else -> skip
       fi;
       complete[r] = true;
       assert(version[r] >= before);
       check(r)
     }
  /* Append a snapshot of the fold. */
  :: atomic { complete[r] && snapshots > 0 && next < SLOTS ->
       snapshots--;
       id[next] = 0;
       base[next] = version[r];
       covers[next] = offset[r];
       copy(snapshot[next], winners[r]);
       next++
     }
  /* The process is replaced and has forgotten all. */
  :: atomic { restarts > 0 && complete[r] ->
       restarts--;
       version[r] = 0;
       offset[r] = 0;
       complete[r] = false
     }
  od
}

/* Publishes one record through a replica and answers from what that has folded. */
proctype Publisher(byte i; byte r) {
  byte b;
  byte attempts = (i == REPEATER -> 0 : 1);
  atomic { complete[r] -> b = version[r] };
  do
  /* The record stands in the log; its answer may be lost all the same. */
  :: atomic { attempts < 2 && next < SLOTS ->
       attempts++;
       append_change(b, i)
     }
  /* The append fails without effect, or has no effect yet. */
  :: atomic { attempts < 2 -> attempts = 2 }
  /* Read back: the version after the base has a winner. */
  :: atomic { complete[r] && version[r] > b ->
       if
       :: winners[r].id[b + 1] == i -> goto accepted
       :: else -> goto conflict
       fi
     }
#ifdef MUTANT_CONFLICT
  :: atomic { complete[r] && attempts > 0 && version[r] == b -> goto conflict }
#endif
  :: atomic { attempts == 2 -> goto unknown }
  od;
accepted:
  atomic { assert(truth.id[b + 1] == i) };
  goto end_answered;
conflict:
  /* From now on the record must not be the winner, whenever it arrives. */
  do
  :: atomic { assert(truth.id[b + 1] != i);
       if
       :: attempts < 2 && next < SLOTS -> attempts++; append_change(b, i)
       :: else -> goto refused
       fi
     }
  od;
refused:
  atomic { assert(truth.id[b + 1] != i) };
  goto end_answered;
unknown:
  skip;
end_answered:
  skip
}

/* Drops the oldest record whenever it likes. */
proctype Retention() {
end:
  do
  :: atomic { first < next -> first++ }
  od
}

init {
  atomic {
    run Replica(0);
    run Replica(1);
    run Publisher(1, 0);
    run Publisher(2, 0);
    if :: PUBLISHERS > 2 -> run Publisher(3, 1) :: else -> skip fi;
    run Retention()
  }
}
