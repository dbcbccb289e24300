/*
 * A target that is leaving gets no new work, and its planned stop interrupts no work.
 *
 * The target runs INCARNATIONS incarnations in turn on one VM. It reports directly to the entry that
 * it is live or leaving; the platform's list shows the same late. Every update that was ever true
 * may arrive at any later time, repeatedly and in any order, from either source. An operator's drain
 * record is set and removed; the entry receives this as configuration revisions, late and out of
 * order. Offers arrive late, also at a later incarnation.
 *
 * Checked: after the entry has received that an incarnation is leaving, it offers that incarnation
 * nothing; while a drain record that it has received is in force, it offers nothing; an agent that
 * is leaving starts nothing that it had not accepted before; it stops only when nothing is running
 * or queued.
 *
 * Each NO_GUARD_x removes one guard; Spin then finds a counterexample.
 */

#define INCARNATIONS 2
#define CALLS 2
#define REVISIONS 3 /* odd ones set the drain record, even ones remove it */

mtype = { new, offered, queued, running, ended };

byte incarnation = 1;
bool leaving, stopped;

/* Updates that were true once, by incarnation and source. */
bool reported_live[INCARNATIONS + 1], reported_leaving[INCARNATIONS + 1];
bool listed_live[INCARNATIONS + 1], listed_leaving[INCARNATIONS + 1];
byte revision;

/* What the entry knows, and what it has received, which is not used by any guard. */
byte known;
bool known_leaving;
byte drain_revision;
bool received_leaving[INCARNATIONS + 1];
byte received_revision;

mtype call[CALLS];
byte offered_to[CALLS];   /* incarnation that the call was offered to */
bool accepted_while_leaving[CALLS];

inline merge(l, is_leaving) {
  if
#ifndef NO_GUARD_INCARNATION
  :: l > known -> known = l; known_leaving = is_leaving
  :: l == known -> known_leaving = known_leaving || is_leaving
  :: l < known
#else
  :: l != known -> known = l; known_leaving = is_leaving
  :: l == known -> known_leaving = known_leaving || is_leaving
#endif
  fi
}

inline receive(l, is_leaving) {
  if
  :: is_leaving -> received_leaving[l] = true
  :: else
  fi;
  merge(l, is_leaving)
}

inline read_list(l, is_leaving) {
#ifdef NO_GUARD_STICKY
  if
  :: l == known -> known_leaving = is_leaving
  :: else -> merge(l, is_leaving)
  fi
#else
  merge(l, is_leaving)
#endif
}

/* Updates about incarnation `l` reach the entry. */
proctype Updates(byte l) {
end:
  do
  :: atomic { reported_live[l] -> receive(l, false) }
  :: atomic { reported_leaving[l] -> receive(l, true) }
  :: atomic { listed_live[l] -> read_list(l, false) }
  :: atomic { listed_leaving[l] -> read_list(l, true) }
  od
}

/* Revision `r` of the drain record reaches the entry. */
proctype Drain(byte r) {
end:
  do
  :: atomic { r <= revision ->
       if
       :: r > received_revision -> received_revision = r
       :: else
       fi;
#ifndef NO_GUARD_OUTDATED
       if
       :: r > drain_revision -> drain_revision = r
       :: else
       fi
#else
       drain_revision = r
#endif
     }
  od
}

/* The entry offers call `c`. */
proctype Offer(byte c) {
end:
  do
#ifdef NO_GUARD_DRAIN
  :: atomic { call[c] == new && known > 0 && !known_leaving ->
#else
  :: atomic { call[c] == new && known > 0 && !known_leaving && drain_revision % 2 == 0 ->
#endif
       assert(!received_leaving[known]);
       assert(received_revision % 2 == 0);
       call[c] = offered;
       offered_to[c] = known }
  od
}

proctype Agent() {
end:
  do
  :: atomic { !stopped && !leaving -> reported_live[incarnation] = true }
  :: atomic { !stopped && !leaving -> listed_live[incarnation] = true }
  :: atomic { leaving -> reported_leaving[incarnation] = true }
  :: atomic { leaving -> listed_leaving[incarnation] = true }
  /* a planned stop: queued calls are returned, running calls are finished */
  :: atomic { !leaving -> leaving = true }
  :: atomic { leaving && !stopped &&
#ifndef NO_GUARD_FINISH
       call[0] != queued && call[0] != running && call[1] != queued && call[1] != running &&
#endif
       true ->
       assert(call[0] != running && call[1] != running);
       assert(call[0] != queued && call[1] != queued);
       stopped = true }
  :: atomic { stopped && incarnation < INCARNATIONS -> incarnation++; leaving = false; stopped = false }
  od
}

/* The agent's handling of call `c`. */
proctype Call(byte c) {
end:
  do
  /* an offer arrives */
  :: atomic { call[c] == offered && !stopped ->
       if
       :: offered_to[c] != incarnation -> call[c] = ended
#ifndef NO_GUARD_REFUSE
       :: offered_to[c] == incarnation && leaving -> call[c] = ended
       :: offered_to[c] == incarnation && !leaving -> call[c] = queued
#else
       :: offered_to[c] == incarnation -> call[c] = queued; accepted_while_leaving[c] = leaving
#endif
       fi }
  :: atomic { call[c] == queued && !stopped -> assert(!accepted_while_leaving[c]); call[c] = running }
  :: atomic { call[c] == running && !stopped -> call[c] = ended }
  :: atomic { leaving && call[c] == queued -> call[c] = ended }
  od
}

proctype Operator() {
end:
  do
  :: atomic { revision < REVISIONS -> revision++ }
  od
}

init {
  atomic {
    call[0] = new; call[1] = new;
    run Updates(1);
    run Updates(2);
    run Drain(1);
    run Drain(2);
    run Drain(3);
    run Offer(0);
    run Offer(1);
    run Call(0);
    run Call(1);
    run Agent();
    run Operator()
  }
}
