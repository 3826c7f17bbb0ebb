/* Model of one worker's lease across a leader change, with process pauses and
 * arbitrary message delays. Every process may take its next step at any later tick,
 * which covers each pause of a leader or the worker. README.md maps the model to the
 * code.
 *
 * Sizes: the model runs for MAX_TIME ticks; a lease lasts LEASE ticks; clocks differ
 * by at most DRIFT ticks per lease.
 *
 * Invariant:
 *   AtMostOnePlacement when the worker is ended, so that its task may start on
 *                      another worker, its lease has expired on its own clock, and
 *                      no later reply extends it
 */

#define LEASE 1
#define DRIFT 1
#define MAX_TIME 5
#define LEADERS 3 /* terms 1 and 2; 0 is unused */
#define NONE 15

#ifdef MUTATION_NO_DRIFT_ALLOWANCE
#define ALLOWANCE 0
#else
#define ALLOWANCE DRIFT
#endif

#ifdef MUTATION_NO_BARRIER
#define BARRIER_PASSES(i) (elected >= i)
#elif defined(MUTATION_BARRIER_BEFORE_COMMIT)
#define BARRIER_PASSES(i) (elected == i)
#else
#define BARRIER_PASSES(i) (elected == i && has_committed[i])
#endif

#ifdef MUTATION_REPLY_WHILE_ENDING
#define MAY_REPLY(i) 1
#else
#define MAY_REPLY(i) (!is_ending[i])
#endif

byte now;
byte elected = 1;       /* term of the latest leader */
bool is_ended;          /* committed: the worker's attempts are declared lost */
bool is_end_inherited;  /* leader 2's log has the EndWorker command of leader 1 */
byte lease_until;       /* latest real time at which the worker stops its task */

/* Reply in flight: time at which its renewal was sent. */
byte reply_renewal_at = NONE;

/* Each leader's memory. */
byte renewal_sent_at[LEADERS] = NONE; /* time at which the pending renewal was sent */
bool has_barrier_passed[LEADERS]; /* a read barrier passed since the renewal came */
bool has_committed[LEADERS];      /* it has committed a record of its term */
bool is_ending[LEADERS];          /* it has proposed EndWorker */
byte replied_at[LEADERS];         /* its clock at its last reply */

inline CheckLease() {
  assert(!is_ended || lease_until <= now) /* AtMostOnePlacement */
}

inline SendRenewal(to) {
  renewal_sent_at[to] = now;
#ifndef MUTATION_BARRIER_BEFORE_RENEWAL
  has_barrier_passed[to] = 0;
#endif
  skip
}

active proctype Clock() {
end:
  do
  :: now < MAX_TIME -> now++
  od
}

active proctype Worker() {
end:
  do
  /* A delay before the renewal arrives is not modelled: it only makes the reply
   older. */
  :: d_step { renewal_sent_at[1] == NONE -> SendRenewal(1) }
  :: d_step { elected == 2 && renewal_sent_at[2] == NONE -> SendRenewal(2) }
  :: d_step { reply_renewal_at != NONE ->
#ifdef MUTATION_LEASE_FROM_RECEIPT
       lease_until = now + LEASE + DRIFT;
#else
       /* the lease counts from the time at which the renewal was sent */
       if
       :: reply_renewal_at + LEASE + DRIFT > lease_until ->
          lease_until = reply_renewal_at + LEASE + DRIFT
       :: else
       fi;
#endif
       reply_renewal_at = NONE;
       CheckLease() }
  od
}

proctype Leader(byte me) {
end:
  do
  /* a barrier passes only while no newer leader has been elected */
  :: d_step { BARRIER_PASSES(me) -> has_barrier_passed[me] = 1 }
  :: d_step { renewal_sent_at[me] != NONE && has_barrier_passed[me] &&
       reply_renewal_at == NONE && MAY_REPLY(me) && !(is_ended && elected == me) ->
       reply_renewal_at = renewal_sent_at[me];
       renewal_sent_at[me] = NONE;
       has_barrier_passed[me] = 0;
       replied_at[me] = now }
  /* the first record of a term also commits the records of earlier leaders */
  :: d_step { elected == me && !has_committed[me] ->
       has_committed[me] = 1;
       is_ended = is_ended || (me == 2 && is_end_inherited);
       CheckLease() }
  :: d_step { elected >= me && !is_ending[me] && !is_ended &&
       has_committed[me] && now >= replied_at[me] + LEASE + ALLOWANCE ->
       is_ending[me] = 1 }
  :: d_step { elected == me && is_ending[me] && !is_ended ->
       is_ended = 1;
       CheckLease() }
  od
}

/* Leader 2 may be elected at any time. */
proctype Election() {
  atomic {
    elected = 2;
    if
    :: is_ending[1] -> is_end_inherited = 1
    :: skip
    fi;
#ifdef MUTATION_NO_WAIT
    replied_at[2] = 0
#else
    replied_at[2] = now /* a new leader waits one whole lease */
#endif
  }
}

init {
  atomic {
    /* the worker has just been granted its first lease by leader 1 */
    has_committed[1] = 1;
    lease_until = LEASE + DRIFT;
    run Leader(1);
    run Leader(2);
    run Election()
  }
}
