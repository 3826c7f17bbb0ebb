/* Model of one idempotency key across entries that crash, freeze, or do not learn
 * the outcome of their commands. Incarnations 0 and 1 are two runs of one entry, 2 is
 * a run of another entry. Callers resend: incarnation 0 receives up to two requests,
 * the others one each. A proposed command may commit at any later time, twice, or
 * never. README.md maps the model to the code.
 *
 * Invariants:
 *   AtMostOnce                     the work is started at most once
 *   NotRunMeansNeverStarted        a request reported to a caller as not-run was
 *                                  never started, nor was the work of a key that is
 *                                  closed as not-run
 *   CompletedMeansStarted          a key is completed only if the work was started
 *   EndedIncarnationOwnsNoOpenKey  an ended incarnation owns no open admission, so
 *                                  that no resent request waits for an outcome that
 *                                  cannot arrive
 */

#define RUNS 3
#define MAX_REQUESTS(e) (e == 0 -> 2 : 1)
#define GENERATIONS 2

mtype = { none, open, completed, not_run, unknown };
mtype = { idle, admitting, admitted, sent, waiting, closing, abandoned };

/* Committed state. */
mtype key = none;
byte owner;              /* the incarnation that admitted it */
byte generation;         /* number of admissions of the key so far */
bool is_ended[RUNS];

/* Proposed commands, which may still commit. */
bool admits[RUNS];
mtype closes[RUNS] = none;
byte closes_generation[RUNS];

/* Memory of each incarnation. */
mtype phase[RUNS] = idle;
byte seen_generation[RUNS];
byte requests[RUNS];
bool is_dead[RUNS];

/* History, checked by the invariants. */
byte starts;
bool has_started[RUNS];    /* within the current request */

inline CheckKey() {
  assert(starts <= 1);                     /* AtMostOnce */
  assert(key != not_run || starts == 0);   /* NotRunMeansNeverStarted */
  assert(key != completed || starts == 1); /* CompletedMeansStarted */
  assert(key != open || !is_ended[owner])  /* EndedIncarnationOwnsNoOpenKey */
}

#ifdef MUTATION_UNKNOWN_IS_ADMITTED_AGAIN
#define IS_FREE (key == none || key == not_run || key == unknown)
#else
#define IS_FREE (key == none || key == not_run)
#endif
#ifdef MUTATION_ADMIT_AFTER_END
#define MAY_ADMIT(e) 1
#else
#define MAY_ADMIT(e) (!is_ended[e])
#endif
#ifdef MUTATION_ANY_ENTRY_CLOSES
#define MAY_CLOSE(e) 1
#else
#define MAY_CLOSE(e) (owner == e)
#endif
#ifdef MUTATION_CLOSE_WITHOUT_GENERATION
#define IS_SAME_ADMISSION(e) 1
#else
#define IS_SAME_ADMISSION(e) (generation == closes_generation[e])
#endif

inline CommitAdmit(e) {
  if
  :: IS_FREE && MAY_ADMIT(e) ->
     key = open;
     owner = e;
     generation++
  :: else
  fi;
  CheckKey()
}

inline CommitClose(e) {
  if
  :: key == open && MAY_CLOSE(e) && IS_SAME_ADMISSION(e) -> key = closes[e]
  :: else
  fi;
  CheckKey()
}

inline CommitEnd(e) {
  is_ended[e] = 1;
  if
  :: key == open && owner == e ->
#ifdef MUTATION_END_AS_NOT_RUN
     key = not_run
#else
     key = unknown
#endif
  :: else
  fi;
  CheckKey()
}

inline ProposeClose(e, outcome) {
  closes[e] = outcome;
  closes_generation[e] = generation
}

#define OWNS(e) (key == open && owner == e)

/* One run of an entry. It may read an earlier committed state; where this matters,
 * the state is read in the step that acts on it. */
proctype Entry(byte e) {
end:
  do
  :: is_dead[e] -> break
  /* a caller sends a request */
  :: d_step { !is_dead[e] && phase[e] == idle &&
       requests[e] < MAX_REQUESTS(e) && (e != 1 || is_dead[0]) ->
       requests[e]++;
       has_started[e] = 0;
       phase[e] = admitting;
       admits[e] = 1 }
#ifdef MUTATION_DISPATCH_BEFORE_COMMIT
  :: d_step { !is_dead[e] && phase[e] == admitting ->
       phase[e] = admitted; seen_generation[e] = generation }
#endif
  :: d_step { !is_dead[e] && phase[e] == admitting && OWNS(e) ->
       phase[e] = admitted;
       seen_generation[e] = generation }
  /* another incarnation owns the key: wait for its outcome */
  :: d_step { !is_dead[e] && phase[e] == admitting && key == open &&
       owner != e -> phase[e] = waiting }
  :: d_step { !is_dead[e] && phase[e] == waiting && key == not_run ->
       phase[e] = admitting }
#ifdef MUTATION_ANY_ENTRY_CLOSES
  :: d_step { !is_dead[e] && phase[e] == waiting && key == open ->
       ProposeClose(e, not_run) }
#endif
  /* reply with the stored outcome */
  :: d_step { !is_dead[e] && (phase[e] == admitting || phase[e] == waiting) &&
       (key == completed || key == unknown) -> phase[e] = idle }
  /* report not-run to the caller; an admission that commits later is closed */
  :: d_step { !is_dead[e] && (phase[e] == admitting || phase[e] == admitted) ->
       assert(!has_started[e]); /* NotRunMeansNeverStarted */
       phase[e] = abandoned }
  :: d_step { !is_dead[e] && phase[e] == abandoned && OWNS(e) ->
       ProposeClose(e, not_run) }
#ifdef MUTATION_DISPATCH_AFTER_NOT_RUN
  :: d_step { !is_dead[e] && phase[e] == abandoned && OWNS(e) ->
       phase[e] = admitted }
#endif
  /* a caller may resend a request reported as not-run */
  :: d_step { !is_dead[e] && phase[e] == abandoned && !OWNS(e) ->
       phase[e] = idle }
  /* the first byte is sent to the upstream */
  :: d_step { !is_dead[e] && phase[e] == admitted ->
       starts++;
       has_started[e] = 1;
       phase[e] = sent;
       CheckKey() }
  :: d_step { !is_dead[e] && phase[e] == sent ->
       closes[e] = completed;
       closes_generation[e] = seen_generation[e];
       phase[e] = closing }
  :: d_step { !is_dead[e] && phase[e] == sent ->
       closes[e] = unknown;
       closes_generation[e] = seen_generation[e];
       phase[e] = closing }
  :: d_step { !is_dead[e] && phase[e] == closing && !OWNS(e) ->
       phase[e] = idle }
  od
}

/* Commits proposed commands in any order. A command stays proposed, so it may commit
 * at any later time, several times, or never. */
proctype Log(byte e) {
end:
  do
  :: d_step { admits[e] && generation < GENERATIONS -> CommitAdmit(e); skip }
  :: d_step { closes[e] != none -> CommitClose(e); skip }
  /* its session has expired, whether the process is dead or frozen */
  :: d_step { !is_ended[e] -> CommitEnd(e); skip }
  :: d_step { !is_dead[e] && e == 0 -> is_dead[e] = 1 }
  od
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
    run Entry(2);
    run Log(0);
    run Log(1);
    run Log(2)
  }
}
