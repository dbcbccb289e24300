/*
 * Configuration: two operators change one record, two processes follow the log.
 *
 * A change is one transaction that compares the record's revision, appends to the log and bears
 * the operator's token. The answer may be lost, the write may take effect late, the table may be
 * down. Followers read the log's head, fetch entries or a snapshot, hear of pushes, and ask their
 * peers while the table is down; whatever they were sent arrives late, repeatedly, in any order.
 * A follower may crash and start afresh.
 *
 * Checked: what was told "accepted" is in the log at that revision; what was told "conflict" or
 * "not run" never is; no change takes effect twice or over a change that its operator had not
 * seen; a follower never goes back and never skips an entry; a fresh one serves only at or after
 * the head at its start, or after what its ready peers had in force while the table is down.
 *
 * The two sides meet in the log only and are checked apart: OPERATORS without followers, and
 * FOLLOWERS with a log that grows at any time.
 *
 * Each NO_GUARD_x takes one guard away; spin then finds a counterexample.
 */

#define CHANGES 3 /* one of an earlier operator, one for each of two */

mtype = { idle, wait, written, found, refused };
mtype = { none, accepted, conflict, not_run, unknown };

byte head = 1;              /* the record's revision too: every change is to the same record */
byte log_owner[CHANGES + 2];

typedef Change {
  bool open[2];             /* the write, and an earlier one whose fate is open */
  byte base;
  mtype reply, told;
  byte landed;              /* revision at which it took effect */
};
Change change[2];

typedef Follower {
  byte applied;
  byte goal;                /* plus one */
  bool down, ready, by_peers;
  byte floor_head, floor_peer;
};
Follower follower[2];
bool pushed[CHANGES + 2];

inline tell(o, what) {
  assert(what != accepted || change[o].landed > 0);
  assert((what != conflict && what != not_run) || change[o].landed == 0);
  change[o].told = what
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
            assert(change[o].landed == 0);
            assert(change[o].base == head);
            assert(change[o].told != conflict && change[o].told != not_run);
            head++;
            log_owner[head] = o + 1;
            change[o].landed = head;
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
  :: atomic { change[o].reply == written -> tell(o, accepted); goto stop }
  :: atomic { change[o].reply == found -> goto read }
  :: atomic { change[o].reply == refused ->
       if
       :: !unsure -> tell(o, not_run)
#ifdef NO_GUARD_UNSURE
       :: unsure -> tell(o, not_run)
#else
       :: unsure -> tell(o, unknown)
#endif
       fi;
       goto stop }
  :: atomic { change[o].reply == wait && !change[o].open[1] ->
       change[o].reply = idle;
       change[o].open[1] = change[o].open[0];
       change[o].open[0] = false;
       unsure = true; goto read }
  fi;
read:
  if
  :: atomic { change[o].landed > 0 -> tell(o, accepted); goto stop }
  :: atomic { change[o].landed == 0 && head != change[o].base -> tell(o, conflict); goto stop }
  :: atomic { change[o].landed == 0 && head == change[o].base ->
#ifdef NO_GUARD_READ
       tell(o, conflict); goto stop
#else
       goto submit
#endif
     }
  :: atomic { change[o].landed == 0 -> tell(o, unknown); goto stop }   /* table down */
  fi;
stop:
  atomic { change[o].told == accepted -> pushed[change[o].landed] = true }
}

#define F follower[f]
#define peer follower[1 - f]

inline settle() {
  if
  :: F.goal > 0 && F.applied + 1 >= F.goal && !F.ready -> F.ready = true; F.by_peers = F.down
  :: else
  fi
}

inline aim(revision) {
  if
  :: F.goal < revision + 1 -> F.goal = revision + 1
  :: else
  fi;
  settle()
}

proctype Follow(byte f) {
end:
  do
  /* the table is down */
  :: atomic { !F.down -> F.down = true }
#ifdef NO_GUARD_DOWN
  :: atomic { peer.ready -> aim(peer.applied) }
#else
  :: atomic { F.down && peer.ready -> aim(peer.applied) }
#endif
  /* serves */
#ifdef NO_GUARD_READY
  :: atomic { F.applied > 0 ->
#else
  :: atomic { F.applied > 0 && F.ready ->
#endif
       assert(F.by_peers || F.applied >= F.floor_head);
       assert(F.applied >= F.floor_peer) }
  /* crashes and starts afresh */
  :: atomic { F.applied > 0 ->
       F.applied = 0; F.goal = 0; F.down = false; F.ready = false; F.by_peers = false;
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
  :: atomic { r <= head && r >= F.floor_head -> F.down = false; aim(r) }
  :: atomic { r <= head && r > F.applied -> F.applied = r; settle() }
#ifdef NO_GUARD_SNAPSHOT
  :: atomic { r <= head -> assert(r >= F.applied); F.applied = r; settle() }
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
            settle()
#ifdef NO_GUARD_OLDER
       :: r <= F.applied -> assert(r > F.applied); F.applied = r
#endif
       :: else
       fi }
#ifdef NO_GUARD_PUSH
  :: atomic { pushed[r] -> aim(r) }
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
    change[0].reply = idle; change[0].told = none;
    change[1].reply = idle; change[1].told = none;
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
