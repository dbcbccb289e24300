/*
 * Configuration: two operators change one record, two processes follow the log.
 *
 * A change is one transaction that compares the record's revision, appends to the log and carries
 * the operator's token. Its response may be lost, the write may take effect late, and the table may
 * be unavailable. Followers read the log's head, fetch entries or a snapshot, receive pushes, and
 * ask their peers while the table is unavailable; whatever was sent to them arrives late,
 * repeatedly and in any order. A follower may crash and restart.
 *
 * Checked: what was reported "accepted" is in the log at that revision; what was reported "conflict"
 * or "not run" never is; no change takes effect twice, or over a change that its operator had not
 * seen; a follower never reverts and never skips an entry; a restarted one serves only at or after
 * the head at its start, or, while the table is unavailable, at or after the revision that its ready
 * peers had applied.
 *
 * The two sides interact only through the log and are checked separately: OPERATORS without
 * followers, and FOLLOWERS with a log that grows at any time.
 *
 * Each NO_GUARD_x removes one guard; Spin then finds a counterexample.
 */

#define CHANGES 3 /* one by an earlier operator, and one by each of the two */

mtype = { idle, wait, written, found, refused };
mtype = { none, accepted, conflict, not_run, unknown };

byte head = 1;              /* also the record's revision: all changes are to the same record */
byte log_owner[CHANGES + 2];

typedef Change {
  bool open[2];             /* the pending write, and an earlier one with an unknown result */
  byte base;
  mtype reply, reported;
  byte applied_at;          /* revision at which it took effect */
};
Change change[2];

typedef Follower {
  byte applied;
  byte goal;                /* stored plus one */
  bool down, ready, ready_by_peers;
  byte floor_head, floor_peer;
};
Follower follower[2];
bool pushed[CHANGES + 2];

inline report(o, what) {
  assert(what != accepted || change[o].applied_at > 0);
  assert((what != conflict && what != not_run) || change[o].applied_at == 0);
  change[o].reported = what
}

proctype Table(byte o; byte k) {
end:
  do
  :: atomic {
       change[o].open[k] ->
       change[o].open[k] = false;
       if
#ifndef NO_GUARD_BASE
       :: change[o].base != head -> skip
       :: change[o].base == head ->
#else
       :: head > CHANGES -> skip
       :: head <= CHANGES ->
#endif
            assert(change[o].applied_at == 0);
            assert(change[o].base == head);
            assert(change[o].reported != conflict && change[o].reported != not_run);
            head++;
            log_owner[head] = o + 1;
            change[o].applied_at = head;
            if
            :: change[o].reply == wait && k == 0 -> change[o].reply = written
            :: else
            fi
       fi;
       if
       :: change[o].reply == wait && k == 0 -> change[o].reply = found
       :: else
       fi
     }
  :: atomic { k == 0 && change[o].reply == wait -> change[o].open[0] = false; change[o].reply = refused }
  od
}

proctype Operator(byte o) {
  bool unsure;
  atomic { change[o].base = head }
submit:
  atomic { !change[o].open[0] -> change[o].open[0] = true; change[o].reply = wait }
  if
  :: atomic { change[o].reply == written -> report(o, accepted); goto finished }
  :: atomic { change[o].reply == found -> goto read }
  :: atomic { change[o].reply == refused ->
       if
       :: !unsure -> report(o, not_run)
#ifdef NO_GUARD_UNSURE
       :: unsure -> report(o, not_run)
#else
       :: unsure -> report(o, unknown)
#endif
       fi;
       goto finished }
  :: atomic { change[o].reply == wait && !change[o].open[1] ->
       change[o].reply = idle;
       change[o].open[1] = change[o].open[0];
       change[o].open[0] = false;
       unsure = true; goto read }
  fi;
read:
  if
  :: atomic { change[o].applied_at > 0 -> report(o, accepted); goto finished }
  :: atomic { change[o].applied_at == 0 && head != change[o].base -> report(o, conflict); goto finished }
  :: atomic { change[o].applied_at == 0 && head == change[o].base ->
#ifdef NO_GUARD_READ
       report(o, conflict); goto finished
#else
       goto submit
#endif
     }
  :: atomic { change[o].applied_at == 0 -> report(o, unknown); goto finished }   /* table unavailable */
  fi;
finished:
  atomic { change[o].reported == accepted -> pushed[change[o].applied_at] = true }
}

#define F follower[f]
#define peer follower[1 - f]

inline update_ready() {
  if
  :: F.goal > 0 && F.applied + 1 >= F.goal && !F.ready -> F.ready = true; F.ready_by_peers = F.down
  :: else
  fi
}

inline raise_goal(revision) {
  if
  :: F.goal < revision + 1 -> F.goal = revision + 1
  :: else
  fi;
  update_ready()
}

proctype Follow(byte f) {
end:
  do
  /* the table becomes unavailable */
  :: atomic { !F.down -> F.down = true }
#ifdef NO_GUARD_DOWN
  :: atomic { peer.ready -> raise_goal(peer.applied) }
#else
  :: atomic { F.down && peer.ready -> raise_goal(peer.applied) }
#endif
  /* serves */
#ifdef NO_GUARD_READY
  :: atomic { F.applied > 0 ->
#else
  :: atomic { F.applied > 0 && F.ready ->
#endif
       assert(F.ready_by_peers || F.applied >= F.floor_head);
       assert(F.applied >= F.floor_peer) }
  /* crashes and restarts */
  :: atomic { F.applied > 0 ->
       F.applied = 0; F.goal = 0; F.down = false; F.ready = false; F.ready_by_peers = false;
       F.floor_head = head; F.floor_peer = 0;
       if
       :: peer.ready -> F.floor_peer = peer.applied
       :: else
       fi }
  od
}

/*
 * Everything that was once true about revision `r` may arrive at any later time: the entry and a
 * snapshot, a push, and the head as read since the follower's start.
 */
proctype Deliver(byte f; byte r) {
end:
  do
  :: atomic { r <= head && r >= F.floor_head -> F.down = false; raise_goal(r) }
  :: atomic { r <= head && r > F.applied -> F.applied = r; update_ready() }
#ifdef NO_GUARD_SNAPSHOT
  :: atomic { r <= head -> assert(r >= F.applied); F.applied = r; update_ready() }
#endif
  :: atomic { r <= head ->
       if
#ifndef NO_GUARD_GAP
       :: r == F.applied + 1 ->
#else
       :: r > F.applied ->
#endif
            assert(r == F.applied + 1);
            F.applied = r;
            update_ready()
#ifdef NO_GUARD_OUTDATED
       :: r <= F.applied -> assert(r > F.applied); F.applied = r
#endif
       :: else
       fi }
#ifdef NO_GUARD_PUSH
  :: atomic { pushed[r] -> raise_goal(r) }
#endif
  od
}

/* Changes are accepted, and pushed or not. */
proctype Log() {
end:
  do
  :: atomic { head < CHANGES -> head++; pushed[head] = true }
  od
}

init {
  atomic {
    log_owner[1] = 3;
    follower[0].floor_head = 1;
    follower[1].floor_head = 1;
    change[0].reply = idle; change[0].reported = none;
    change[1].reply = idle; change[1].reported = none;
#ifdef OPERATORS
    run Table(0, 0);
    run Table(0, 1);
    run Table(1, 0);
    run Table(1, 1);
    run Operator(0);
    run Operator(1)
#endif
#ifdef FOLLOWERS
    run Log();
    run Follow(0);
    run Follow(1);
    run Deliver(0, 1);
    run Deliver(0, 2);
    run Deliver(0, 3);
    run Deliver(1, 1);
    run Deliver(1, 2);
    run Deliver(1, 3)
#endif
  }
}
