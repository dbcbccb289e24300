/*
 * Claim, offer, grant, revocation and response of one call that may not be repeated.
 *
 * CLAIMS requests carry the same idempotency key and are served by different entries. Each entry
 * claims the key in the table, offers the call to an agent, and grants it the start once.
 *
 * Network: a message that was sent stays in a set, from which it may be delivered at any time, any
 * number of times, in any order, or never. A link lives as long as the agent's process: messages in
 * transit to the agent are lost when it crashes. Before the grant, the entry may open a new link
 * and offer again; messages that it has not read from the old link are then lost.
 * Table: a write may be rejected, take effect with its response lost, or take effect long after its
 * writer has stopped waiting. A read may be rejected, and its result is used at any later time.
 * Crash and pause of an entry: it takes no further step, for a while or forever. An entry that
 * restarts remembers nothing, so it counts as another entry. Crash of an agent: its memory is
 * empty.
 *
 * Checked: the call runs at most once; no call runs that was reported "not run", before or after; a
 * response is recorded only for a call that ran; a claim reported "not run" by an entry that lived
 * to settle it leaves no claimed row behind, since otherwise no retry could ever run.
 *
 * The call and the claim interact only through the result of the claim, so they are checked
 * separately: CLAIMS=1 with the complete call, and CLAIMS=2 with SHORT_CALL, where an offered call
 * either runs or does not, and its outcome is reported.
 *
 * Each NO_GUARD_x removes one guard; Spin then finds a counterexample. NO_GUARD_SINGLE_GRANT has an
 * effect only with NO_GUARD_SINGLE_OFFER and agents that never leave (NEVER_LEAVES): a second grant
 * does harm only if the call is offered again after the first one, which is itself an error.
 */

#ifndef CLAIMS
#define CLAIMS 2
#endif
#define SLOTS 2 /* maximum number of pending writes of one entry */

mtype = { free, queued, awaiting_grant, running, ended };    /* state at the agent */
mtype = { none, not_run, unknown, complete, other, down };   /* reported outcome, reply */
mtype = { claimed, answered, released };                     /* progress in the row */
mtype = { written, found, refused };                         /* reply of the table */

/* The row; at revision 0 there is none. */
byte row_revision, row_owner;
mtype row_progress;
byte revisions;

typedef Write { bool open; byte check; mtype progress };
typedef Client {
  Write write[SLOTS];
  byte awaited;              /* slot whose reply is awaited, plus one */
  mtype reply;
  byte revision, owner;      /* the row as returned by the table */
  mtype progress;
};
Client client[CLAIMS];

typedef Net { bool offer, ask, grant, deny, revoke, recall, refuse, forgotten, done };
Net net[CLAIMS];

mtype gate[CLAIMS];
mtype reported[CLAIMS];
bool ran[CLAIMS];
bool settled[CLAIMS];
byte run_count;

inline start(c) {
  run_count++;
  assert(run_count <= 1);
  assert(reported[c] != not_run);
  ran[c] = true;
  gate[c] = running
}

inline report(c, what) {
  assert(reported[c] == none);
  assert(what != not_run || !ran[c]);
  assert(what != complete || ran[c]);
  reported[c] = what
}

/* Sends a write using a free slot. */
inline send(c, expected, state) {
  atomic {
    if
    :: !client[c].write[0].open -> slot = 0
    :: client[c].write[0].open && !client[c].write[1].open -> slot = 1
    fi;
    client[c].write[slot].open = true;
    client[c].write[slot].check = expected;
    client[c].write[slot].progress = state;
    client[c].awaited = slot + 1;
    client[c].reply = none
  }
}

/* Opens a new link and offers again. */
inline offer_again(c) {
  net[c].offer = true;
#ifndef NO_GUARD_LINK_RESET
  net[c].ask = false; net[c].refuse = false; net[c].forgotten = false
#endif
}

inline read_row(c) {
  client[c].revision = row_revision;
  client[c].owner = row_owner;
  client[c].progress = row_progress
}

inline take_effect(c, s) {
  atomic {
    client[c].write[s].open ->
    client[c].write[s].open = false;
    if
#ifndef NO_GUARD_CHECK
    :: client[c].write[s].check != row_revision -> skip
    :: client[c].write[s].check == row_revision ->
#else
    :: true ->
#endif
      assert(!(settled[c] && client[c].write[s].progress == claimed));
      revisions++;
      row_revision = revisions;
      row_owner = c + 1;
      row_progress = client[c].write[s].progress;
      if
      :: client[c].awaited == s + 1 -> client[c].reply = written; client[c].revision = revisions;
           client[c].awaited = 0
      :: else
      fi
    fi;
    if
    :: client[c].awaited == s + 1 -> read_row(c); client[c].reply = found; client[c].awaited = 0
    :: else
    fi
  }
}

inline reject(c, s) {
  atomic {
    client[c].write[s].open && client[c].awaited == s + 1 ->
    client[c].write[s].open = false;
    client[c].reply = refused;
    client[c].awaited = 0
  }
}

proctype Table(byte c) {
end:
  do
  :: take_effect(c, 0)
  :: take_effect(c, 1)
  :: reject(c, 0)
  :: reject(c, 1)
  od
}

proctype Entry(byte c) {
  byte check, slot;
  bool unsure;
  mtype closing;

claim:
#ifdef NO_GUARD_CLAIM
  goto offer;
#endif
  send(c, check, claimed);
claim_wait:
  if
  :: atomic { client[c].reply == written -> check = client[c].revision; goto offer }
  :: atomic { client[c].reply == found -> goto claim_found }
  :: atomic { client[c].reply == refused -> goto claim_down }
  :: atomic { client[c].reply == none -> client[c].awaited = 0; unsure = true;
#ifdef NO_GUARD_UNSURE
       goto offer
#else
       goto claim_read
#endif
     }
  fi;
claim_read:
  if
  :: atomic { read_row(c); goto claim_found }
  :: goto claim_down
  fi;
claim_found:
  if
  :: atomic { client[c].revision == 0 -> check = 0; goto claim }
  :: atomic { client[c].revision > 0 && client[c].owner == c + 1 ->
       check = client[c].revision; goto offer }
  :: atomic { client[c].revision > 0 && client[c].owner != c + 1 ->
       if
       :: client[c].progress == released -> check = client[c].revision; goto claim
#ifdef NO_GUARD_TAKEOVER
       :: client[c].progress == claimed -> check = client[c].revision; goto claim
#else
       :: client[c].progress == claimed -> report(c, other); goto stop
#endif
       :: client[c].progress == answered -> report(c, other); goto stop
       fi }
  fi;
claim_down:
  atomic {
    report(c, not_run);
    if
#ifndef NO_GUARD_CLEANUP
    :: unsure -> closing = released; goto close_read
#endif
    :: else -> settled[c] = true; goto stop
    fi
  }

offer:
  atomic { client[c].reply = none; client[c].revision = 0; client[c].owner = 0;
    client[c].progress = 0; unsure = false; slot = 0 }
#ifdef SHORT_CALL
  if
  :: goto ended_not_run
  :: atomic { start(c); goto short_started }
  fi;
short_started:
  if
  :: atomic { report(c, complete); closing = answered; goto close }
  :: atomic { report(c, unknown); goto stop }
  fi;
#endif
  net[c].offer = true;
offered:
  if
  :: atomic { net[c].ask -> net[c].grant = true; goto granted }
  :: atomic { net[c].refuse || net[c].forgotten -> goto ended_not_run }
  :: atomic { !net[c].offer -> offer_again(c); goto offered }
  :: goto ended_not_run                                       /* link lost */
  :: atomic { net[c].revoke = true; goto ended_not_run }      /* gives up */
  fi;
granted:
  if
#ifdef NO_GUARD_SINGLE_GRANT
  :: atomic { net[c].ask -> net[c].grant = true; goto granted }
#else
  :: atomic { net[c].ask && !net[c].deny -> net[c].deny = true; goto granted }
#endif
#ifdef NO_GUARD_SINGLE_OFFER
  :: atomic { !net[c].offer -> offer_again(c); goto granted }
#endif
  :: atomic { net[c].refuse -> goto ended_not_run }
#ifdef NO_GUARD_FORGOTTEN
  :: atomic { net[c].forgotten -> goto ended_not_run }
#else
  :: atomic { net[c].forgotten -> report(c, unknown); goto stop }
#endif
  :: atomic { !net[c].recall -> net[c].recall = true; goto granted }
  :: atomic { net[c].done -> report(c, complete); closing = answered; goto close }
#ifdef NO_GUARD_UNKNOWN
  :: goto ended_not_run
#else
  :: atomic { report(c, unknown); goto stop }                 /* link lost */
#endif
  fi;
ended_not_run:
  atomic { report(c, not_run); closing = released }

close:
#ifdef NO_GUARD_CLAIM
  goto stop;
#endif
  send(c, check, closing);
close_wait:
  if
  :: atomic { client[c].reply == written -> goto close_done }
  :: atomic { client[c].reply == found -> goto close_found }
  :: atomic { client[c].reply == refused -> goto close_read }
  :: atomic { client[c].reply == none -> client[c].awaited = 0; goto close_read }
  fi;
close_read:
  atomic { read_row(c) }
close_found:
  if
  /* Another claim's row has moved on only if no pending write of this entry still expects it. */
  :: atomic { client[c].revision > 0 && client[c].owner != c + 1 ->
       if
#ifndef NO_GUARD_REVISION_MOVED
       :: client[c].revision == check -> goto close
       :: client[c].revision != check -> goto close_done
#else
       :: true -> goto close_done
#endif
       fi }
  :: atomic { client[c].revision > 0 && client[c].owner == c + 1 ->
       if
       :: client[c].progress == closing -> goto close_done
       :: client[c].progress != closing -> check = client[c].revision; goto close
       fi }
  :: atomic { client[c].revision == 0 -> check = 0; goto close }
  fi;
close_done:
  atomic {
    settled[c] = (reported[c] == not_run);
    assert(!(settled[c] && row_owner == c + 1 && row_progress == claimed))
  }
stop:
  atomic { client[c].reply = none; client[c].revision = 0; client[c].owner = 0;
    client[c].progress = 0; unsure = false; slot = 0; check = 0; closing = 0 }
end:
  do
#ifdef NO_GUARD_DENY
  :: atomic { net[c].ask -> net[c].grant = true }
#else
  :: atomic { net[c].ask && !net[c].deny -> net[c].deny = true }
#endif
  od
}

proctype Agent(byte c) {
end:
  do
  :: atomic { gate[c] == free && net[c].offer -> gate[c] = queued }
#ifdef NO_GUARD_GRANT
  :: atomic { gate[c] == queued -> start(c) }
#else
  :: atomic { gate[c] == queued -> gate[c] = awaiting_grant; net[c].ask = true }
#endif
  :: atomic { gate[c] == awaiting_grant && net[c].grant -> start(c) }
  :: atomic { (gate[c] == queued || gate[c] == awaiting_grant) && net[c].revoke ->
       gate[c] = ended; net[c].refuse = true }
#ifndef NEVER_LEAVES
  :: atomic { gate[c] == queued || gate[c] == awaiting_grant ->   /* leaves */
       gate[c] = ended; net[c].refuse = true }
#endif
  :: atomic { (gate[c] == queued || gate[c] == awaiting_grant) && net[c].deny -> gate[c] = ended }
  :: atomic { gate[c] == queued || gate[c] == awaiting_grant -> gate[c] = ended }   /* link lost */
  :: atomic { gate[c] == running -> gate[c] = ended; net[c].done = true }
  :: atomic { gate[c] == free && (net[c].revoke || net[c].recall) && !net[c].forgotten ->
       net[c].forgotten = true }
  :: atomic { gate[c] != free ->                               /* crash and restart */
       gate[c] = free;
#ifndef NO_GUARD_LINK_RESET
       net[c].offer = false; net[c].grant = false; net[c].deny = false;
       net[c].revoke = false; net[c].recall = false
#endif
     }
  od
}

init {
  byte c;
  atomic {
    for (c : 0 .. CLAIMS - 1) {
      gate[c] = free;
      reported[c] = none;
      client[c].reply = none;
      run Table(c);
      run Entry(c);
#ifndef SHORT_CALL
      run Agent(c)
#endif
    }
  }
}
