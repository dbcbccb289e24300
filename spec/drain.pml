/*
 * A target that leaves gets no new work, and its planned stop cuts off nothing.
 *
 * The target lives LIVES lives in turn on one VM. It tells the entry directly that it lives or
 * leaves; the platform's list says so late. Every word that was ever true may arrive at any later
 * time, repeatedly and in any order, from either source. An operator's drain record is set and
 * lifted; the entry hears of it as configuration revisions, late and out of order. Offers arrive
 * late, also at a later life.
 *
 * Checked: after the entry has heard that a life leaves, it offers that life nothing; while a
 * drain record that it has heard of is in force, it offers nothing; an agent that leaves starts
 * nothing that it had not accepted before; it stops only when nothing runs or waits.
 *
 * Each NO_GUARD_x takes one guard away; spin then finds a counterexample.
 */

#define LIVES 2
#define CALLS 2
#define REVISIONS 3 /* odd ones set the drain record, even ones lift it */

mtype = { fresh, offered, held, running, over };

byte life = 1;
bool leaving, stopped;

/* Words that were true once, by life and source. */
bool says_live[LIVES + 1], says_leaving[LIVES + 1];
bool lists_live[LIVES + 1], lists_leaving[LIVES + 1];
byte revision;

/* What the entry knows, and what it has heard of, which no guard sees. */
byte known;
bool known_leaving;
byte drain;
bool heard_leaving[LIVES + 1];
byte heard_revision;

mtype call[CALLS];
byte to[CALLS];       /* life that the call was offered to */
bool late[CALLS];     /* accepted by an agent that was leaving */

inline merge(l, leaves) {
  if
#ifndef NO_GUARD_LIFE
  :: l > known -> known = l; known_leaving = leaves
  :: l == known -> known_leaving = known_leaving || leaves
  :: l < known
#else
  :: l != known -> known = l; known_leaving = leaves
  :: l == known -> known_leaving = known_leaving || leaves
#endif
  fi
}

inline hear(l, leaves) {
  if
  :: leaves -> heard_leaving[l] = true
  :: else
  fi;
  merge(l, leaves)
}

inline read_list(l, leaves) {
#ifdef NO_GUARD_STICKY
  if
  :: l == known -> known_leaving = leaves
  :: else -> merge(l, leaves)
  fi
#else
  merge(l, leaves)
#endif
}

/* Words about life `l` reach the entry. */
proctype Words(byte l) {
end:
  do
  :: atomic { says_live[l] -> hear(l, false) }
  :: atomic { says_leaving[l] -> hear(l, true) }
  :: atomic { lists_live[l] -> read_list(l, false) }
  :: atomic { lists_leaving[l] -> read_list(l, true) }
  od
}

/* Revision `r` of the drain record reaches the entry. */
proctype Drain(byte r) {
end:
  do
  :: atomic { r <= revision ->
       if
       :: r > heard_revision -> heard_revision = r
       :: else
       fi;
#ifndef NO_GUARD_OLDER
       if
       :: r > drain -> drain = r
       :: else
       fi
#else
       drain = r
#endif
     }
  od
}

/* The entry offers call `c`. */
proctype Offer(byte c) {
end:
  do
#ifdef NO_GUARD_DRAIN
  :: atomic { call[c] == fresh && known > 0 && !known_leaving ->
#else
  :: atomic { call[c] == fresh && known > 0 && !known_leaving && drain % 2 == 0 ->
#endif
       assert(!heard_leaving[known]);
       assert(heard_revision % 2 == 0);
       call[c] = offered;
       to[c] = known }
  od
}

proctype Agent() {
end:
  do
  :: atomic { !stopped && !leaving -> says_live[life] = true }
  :: atomic { !stopped && !leaving -> lists_live[life] = true }
  :: atomic { leaving -> says_leaving[life] = true }
  :: atomic { leaving -> lists_leaving[life] = true }
  /* a planned stop: what waits is handed back, what runs is finished */
  :: atomic { !leaving -> leaving = true }
  :: atomic { leaving && !stopped &&
#ifndef NO_GUARD_FINISH
       call[0] != held && call[0] != running && call[1] != held && call[1] != running &&
#endif
       true ->
       assert(call[0] != running && call[1] != running);
       assert(call[0] != held && call[1] != held);
       stopped = true }
  :: atomic { stopped && life < LIVES -> life++; leaving = false; stopped = false }
  od
}

/* The agent's way with call `c`. */
proctype Call(byte c) {
end:
  do
  /* an offer arrives */
  :: atomic { call[c] == offered && !stopped ->
       if
       :: to[c] != life -> call[c] = over
#ifndef NO_GUARD_REFUSE
       :: to[c] == life && leaving -> call[c] = over
       :: to[c] == life && !leaving -> call[c] = held
#else
       :: to[c] == life -> call[c] = held; late[c] = leaving
#endif
       fi }
  :: atomic { call[c] == held && !stopped -> assert(!late[c]); call[c] = running }
  :: atomic { call[c] == running && !stopped -> call[c] = over }
  :: atomic { leaving && call[c] == held -> call[c] = over }
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
    call[0] = fresh; call[1] = fresh;
    run Words(1);
    run Words(2);
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
