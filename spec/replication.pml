/* Model of the replicated log of the control state: elections, appends, syncs to
 * disk, crashes, membership changes and lost disks. README.md maps each step to the
 * functions of the code and lists what is not modelled.
 *
 * Sizes, set by run_models.sh:
 *   N       replica ids          VOTERS  the first membership, as bits
 *   T       highest term         K       longest log
 *   PERSIST disks are synced after memory changes, and replicas crash
 *   STEPS_DOWN a leader may step down at any time
 *   CHANGES membership changes   LOSSES  disks that may be lost
 *
 * Invariants:
 *   OneLeaderPerTerm         at most one replica wins a term
 *   NoAcknowledgedLoss       a leader has every record committed in earlier terms
 *   OneRecordPerIndex        no two records are committed at one index
 *   CopySurvivesDiskLoss     at least one live replica has all committed records
 */

#define NONE 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define BIT(x) (1 << (x))
#define HAS(mask, x) (((mask) >> (x)) & 1)
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(votes, config) (2 * COUNT((votes) & (config)) > COUNT(config))

typedef Log {
  byte size;
  byte term[K];
  byte config[K] /* voters as bits; 0: the record is a command */
};

typedef Replica {
  byte term;
  byte vote;
  byte role;
  byte votes;     /* of a candidate */
  byte config;    /* voters in the latest membership of the log */
  byte last_term; /* of the log's last record */
  Log log;
  byte ack_term;  /* an append reply deferred until the sync */
  byte ack_size;
  byte vote_term; /* a vote reply deferred until the sync */
#ifdef PERSIST
  bool dirty;
  byte disk_term;
  byte disk_vote;
  Log disk;
#endif
};

typedef Matches { byte size[N] };

Replica r[N];
Matches match[T + 1]; /* known matching log size, by the leader's term */
byte leader_of[T + 1] = NONE;
Log committed;
byte committed_by[K]; /* the term of the leader that committed it */
byte committed_config = VOTERS;
byte lost;
byte losses;

hidden byte k;
hidden byte n;
hidden byte x;
hidden byte same;

inline CopyLog(from, to) {
  to.size = from.size;
  k = 0;
  do
  :: k < K -> to.term[k] = from.term[k]; to.config[k] = from.config[k]; k++
  :: else -> break
  od
}

/* Updates the fields of a replica that are derived from its log. */
inline ReadLog(i) {
  r[i].config = VOTERS;
  r[i].last_term = 0;
  k = 0;
  do
  :: k < r[i].log.size ->
     if
     :: r[i].log.config[k] -> r[i].config = r[i].log.config[k]
     :: else
     fi;
     r[i].last_term = r[i].log.term[k];
     k++
  :: else -> break
  od
}

/* Sets `same` to whether the first `count` records of a and b are equal. */
inline ComparePrefix(a, b, count) {
  same = (a.size >= count && b.size >= count);
  k = 0;
  do
  :: k < count && same ->
     same = (a.term[k] == b.term[k] && a.config[k] == b.config[k]);
     k++
  :: else -> break
  od
}

inline ReleaseAck(j) {
  if
  :: r[j].ack_term && r[j].ack_size > match[r[j].ack_term].size[j] ->
     match[r[j].ack_term].size[j] = r[j].ack_size
  :: else
  fi;
  r[j].ack_term = 0;
  r[j].ack_size = 0
}

inline ReleaseVote(j) {
  if
  :: r[j].vote_term && r[j].vote != NONE ->
     if
     :: r[r[j].vote].role == CANDIDATE && r[r[j].vote].term == r[j].vote_term ->
        r[r[j].vote].votes = r[r[j].vote].votes | BIT(j)
     :: else
     fi
  :: else
  fi;
  r[j].vote_term = 0
}

/* Called after a change of durable state, which must be on disk before any reply
 * that depends on it is sent. */
inline MarkChanged(j) {
#ifdef PERSIST
  r[j].dirty = 1;
#ifdef MUTATION_ACK_BEFORE_SYNC
  ReleaseAck(j);
#endif
#ifdef MUTATION_VOTE_BEFORE_SYNC
  ReleaseVote(j);
#endif
#else
  ReleaseAck(j);
  ReleaseVote(j);
#endif
  skip
}

inline AdoptTerm(j, new_term) {
  if
  :: r[j].term < new_term ->
     r[j].term = new_term;
     r[j].vote = NONE;
     r[j].role = FOLLOWER;
     r[j].votes = 0;
     r[j].vote_term = 0;
#ifndef MUTATION_STALE_ACK
     r[j].ack_term = 0;
     r[j].ack_size = 0;
#endif
  :: else
  fi
}

inline Campaign(i) {
  AdoptTerm(i, r[i].term + 1);
  r[i].role = CANDIDATE;
  r[i].vote = i;
  r[i].vote_term = r[i].term;
  MarkChanged(i)
}

inline GrantVote(i, j) {
  AdoptTerm(j, r[i].term);
  r[j].vote = i;
  r[j].vote_term = r[i].term;
  MarkChanged(j)
}

inline BecomeLeader(i) {
  assert(leader_of[r[i].term] == NONE); /* OneLeaderPerTerm */
  leader_of[r[i].term] = i;
  r[i].role = LEADER;
  r[i].votes = 0;
  /* a win in a lower term may be processed late; it needs only the records committed
   by leaders of earlier terms */
  n = 0;
  do
  :: n < committed.size && committed_by[n] < r[i].term -> n++
  :: else -> break
  od;
  ComparePrefix(committed, r[i].log, n);
  assert(same); /* NoAcknowledgedLoss */
#ifdef PERSIST
  /* the own log counts as a copy only once it is on disk */
  ComparePrefix(r[i].disk, r[i].log, r[i].log.size);
  if
  :: same && !r[i].dirty -> match[r[i].term].size[i] = r[i].log.size
  :: else
  fi;
  if
  :: !same || r[i].dirty ->
     r[i].ack_term = r[i].term;
     r[i].ack_size = r[i].log.size
  :: else
  fi
#else
  match[r[i].term].size[i] = r[i].log.size
#endif
}

inline AppendAsLeader(i, new_config) {
  r[i].log.term[r[i].log.size] = r[i].term;
  r[i].log.config[r[i].log.size] = new_config;
  r[i].log.size++;
  ReadLog(i);
  r[i].ack_term = r[i].term;
  r[i].ack_size = r[i].log.size;
  MarkChanged(i)
}

/* One transfer of the whole log models finding the match and sending the rest. */
inline Append(i, j) {
  AdoptTerm(j, r[i].term);
  r[j].role = FOLLOWER;
  ComparePrefix(r[i].log, r[j].log, r[i].log.size);
  if
  :: !same -> CopyLog(r[i].log, r[j].log); ReadLog(j)
  :: else
  fi;
  r[j].ack_term = r[i].term;
  r[j].ack_size = r[i].log.size;
  MarkChanged(j)
}

/* Sets x to the replicas known to have the first n records. */
inline CountCopies(i) {
  x = 0;
  k = 0;
  do
  :: k < N ->
     if
     :: match[r[i].term].size[k] >= n -> x = x | BIT(k)
     :: else
     fi;
     k++
  :: else -> break
  od
}

#ifdef MUTATION_COMMIT_OLD_TERM
#define IS_OF_OWN_TERM(i) 1
#else
#define IS_OF_OWN_TERM(i) (r[i].log.term[n - 1] == r[i].term)
#endif

inline Commit(i) {
  n = r[i].log.size;
  do
  :: n > committed.size ->
     CountCopies(i);
     if
     :: MAJORITY(x, r[i].config) && IS_OF_OWN_TERM(i) -> break
     :: else -> n--
     fi
  :: else -> break
  od;
  if
  :: n > committed.size ->
     ComparePrefix(committed, r[i].log, committed.size);
     assert(same); /* OneRecordPerIndex */
     x = committed.size;
     do
     :: x < n ->
        committed.term[x] = r[i].log.term[x];
        committed.config[x] = r[i].log.config[x];
        committed_by[x] = r[i].term;
        if
        :: committed.config[x] -> committed_config = committed.config[x]
        :: else
        fi;
        x++
     :: else -> break
     od;
     committed.size = n;
     /* a leader of a higher term may exist already */
     n = 0;
     do
     :: n < N ->
        if
        :: r[n].role == LEADER && r[n].term > r[i].term ->
           ComparePrefix(committed, r[n].log, committed.size);
           assert(same) /* NoAcknowledgedLoss */
        :: else
        fi;
        n++
     :: else -> break
     od
  :: else
  fi
}

#define CHANGE_IS_COMMITTED(i) (r[i].config == committed_config)

/* Sets x to whether a record of the leader's term is committed. */
inline HasCommittedInTerm(i) {
  x = 0;
  k = 0;
  do
  :: k < committed.size ->
     x = x | (committed.term[k] == r[i].term);
     k++
  :: else -> break
  od
}

inline ChangeMembership(i, j) {
  HasCommittedInTerm(i);
#ifdef MUTATION_CHANGE_BEFORE_COMMIT
  x = 1;
#endif
  if
  :: x && (r[i].config ^ BIT(j)) -> AppendAsLeader(i, (r[i].config ^ BIT(j)))
  :: else
  fi
}

inline Crash(j) {
#ifdef PERSIST
  r[j].term = r[j].disk_term;
  r[j].vote = r[j].disk_vote;
  CopyLog(r[j].disk, r[j].log);
  r[j].dirty = 0;
#endif
  r[j].role = FOLLOWER;
  r[j].votes = 0;
  r[j].ack_term = 0;
  r[j].ack_size = 0;
  r[j].vote_term = 0;
  ReadLog(j)
}

inline LoseDisk(j) {
  losses++;
  r[j].term = 0;
  r[j].vote = NONE;
  r[j].log.size = 0;
  k = 0;
  do
  :: k < K -> r[j].log.term[k] = 0; r[j].log.config[k] = 0; k++
  :: else -> break
  od;
  Crash(j);
#ifndef MUTATION_SAME_ID
  lost = lost | BIT(j);
  x = 0;
  n = 0;
  do
  :: n < N ->
     ComparePrefix(committed, r[n].log, committed.size);
     x = x | (same && !HAS(lost, n));
     n++
  :: else -> break
  od;
  assert(x) /* CopySurvivesDiskLoss */
#endif
}

#define ALIVE(i) (!HAS(lost, i))
#define IS_UP_TO_DATE(i, j) (r[i].last_term > r[j].last_term || \
  (r[i].last_term == r[j].last_term && r[i].log.size >= r[j].log.size))
#ifdef MUTATION_VOTE_FOR_ANY_LOG
#define IS_ELIGIBLE(i, j) 1
#else
#define IS_ELIGIBLE(i, j) IS_UP_TO_DATE(i, j)
#endif
#ifdef MUTATION_VOTE_REQUEST_BEFORE_SYNC
#define MAY_REQUEST_VOTE(i) 1
#else
#define MAY_REQUEST_VOTE(i) (r[i].vote_term == 0)
#endif
#define CAN_REQUEST_VOTE(i, j) (i != j && ALIVE(j) && r[i].role == CANDIDATE && \
  MAY_REQUEST_VOTE(i) && \
  HAS(r[i].config, j) && IS_ELIGIBLE(i, j) && \
  (r[j].term < r[i].term || (r[j].term == r[i].term && r[j].vote == NONE)))
#define IS_LEADER(i) (r[i].role == LEADER)
#define CAN_APPEND(i, j) (i != j && ALIVE(j) && IS_LEADER(i) && \
  r[j].term <= r[i].term && \
  !(r[j].ack_term == r[i].term && r[j].ack_size == r[i].log.size) && \
  match[r[i].term].size[j] < r[i].log.size)
#ifdef MUTATION_OVERLAPPING_CHANGES
#define CAN_CHANGE(i, j) (IS_LEADER(i) && r[i].log.size < K)
#else
#define CAN_CHANGE(i, j) (IS_LEADER(i) && r[i].log.size < K && \
  CHANGE_IS_COMMITTED(i))
#endif
/* Any replica may be removed, but with LOSSES > 0 only one that lost its disk; a
 * replica is added only once it has caught up. */
#define IS_VALID_CHANGE(i, j) \
  ((HAS(r[i].config, j) && (LOSSES == 0 || !ALIVE(j))) || \
   (!HAS(r[i].config, j) && ALIVE(j) && \
    match[r[i].term].size[j] + 1 >= r[i].log.size))
/* The next disk may be lost only after the repair of the previous loss. */
#ifdef MUTATION_LOSE_BEFORE_REPAIR
#define IS_REPAIRED 1
#else
#define IS_REPAIRED (COUNT(committed_config) >= 3 && (committed_config & lost) == 0)
#endif
#define CAN_LOSE(j) (losses < LOSSES && ALIVE(j) && IS_REPAIRED && \
  HAS(committed_config, j))

#define REQUEST_VOTE(j) :: d_step { CAN_REQUEST_VOTE(me, j) -> GrantVote(me, j); skip }
#define APPEND(j) :: d_step { CAN_APPEND(me, j) -> Append(me, j); skip }
#define CHANGE(j) :: d_step { CAN_CHANGE(me, j) && IS_VALID_CHANGE(me, j) -> \
  ChangeMembership(me, j); skip }

proctype Member(byte me) {
end:
  do
  :: d_step { ALIVE(me) && r[me].role != LEADER && r[me].term < T &&
              HAS(r[me].config, me) -> Campaign(me); skip }
  REQUEST_VOTE(0) REQUEST_VOTE(1) REQUEST_VOTE(2)
#if N > 3
  REQUEST_VOTE(3)
#endif
  :: d_step { r[me].role == CANDIDATE &&
              MAJORITY(r[me].votes, r[me].config) -> BecomeLeader(me); skip }
  :: d_step { IS_LEADER(me) && r[me].log.size < K -> AppendAsLeader(me, 0); skip }
  APPEND(0) APPEND(1) APPEND(2)
#if N > 3
  APPEND(3)
#endif
  :: d_step { IS_LEADER(me) && r[me].log.size > committed.size ->
              Commit(me); skip }
#ifdef STEPS_DOWN
  /* contact to a quorum is lost, or the process restarts */
  :: d_step { IS_LEADER(me) -> r[me].role = FOLLOWER }
#endif
#ifdef CHANGES
  CHANGE(0) CHANGE(1) CHANGE(2)
#if N > 3
  CHANGE(3)
#endif
#endif
#ifdef PERSIST
  :: d_step { r[me].dirty ->
              r[me].dirty = 0;
              r[me].disk_term = r[me].term;
              r[me].disk_vote = r[me].vote;
              CopyLog(r[me].log, r[me].disk);
              ReleaseAck(me);
              ReleaseVote(me); skip }
  :: d_step { r[me].dirty -> Crash(me); skip }
#endif
#if LOSSES > 0
  :: d_step { CAN_LOSE(me) -> LoseDisk(me); skip }
#endif
  od
}

init {
  atomic {
    n = 0;
    do
    :: n < N ->
       r[n].vote = NONE;
       r[n].config = VOTERS;
#ifdef PERSIST
       r[n].disk_vote = NONE;
#endif
       run Member(n);
       n++
    :: else -> break
    od
  }
}
