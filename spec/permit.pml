/*
 * Claim, offer, permit, revoke and answer of one call that may not be repeated.
 *
 * CLAIMS requests bear the same idempotency key and are served by different entries. Each entry
 * claims the key in the table, offers the call to an agent, and permits it to start once.
 *
 * Network: a message that was sent stays in a set, from which it may be delivered at any time,
 * any number of times, in any order, or never. A link lives as long as the agent's process: what
 * is on the way to it is gone when it crashes. Before it has permitted the call the
 * entry may open a new link and offer again; what it has not read from the old one is then gone.
 * Table: a write may be refused, take effect with its answer lost, or take effect long after its
 * writer has stopped to wait. A read may be refused and is used at any later time.
 * Crash and pause of an entry: it takes no further step, for a while or for ever; an entry that
 * restarts keeps nothing, so it is one more entry. Crash of an agent: its memory is empty.
 *
 * Checked: the call runs at most once; no call runs that was told "not run", before or after; an
 * answer is recorded only for a call that ran; a claim told "not run" by an entry that lived to
 * settle it leaves no claimed row behind, or no retry could ever run.
 *
 * The call's way and the claim's are independent but for the grant of the claim, so they are
 * checked apart: CLAIMS=1 with the whole way of the call, and CLAIMS=2 with SHORT_CALL, where a
 * call that was offered runs or does not and its end is told.
 *
 * Each NO_GUARD_x takes one guard away; spin then finds a counterexample. NO_GUARD_ONCE shows
 * only beside NO_GUARD_OFFER and agents that never leave (STAYS): a second permit does harm only
 * if the call is offered again after the first one, which is wrong for a second reason already.
 */

#ifndef CLAIMS
#define CLAIMS 2
#endif
#define SLOTS 2 /* writes of one entry whose fate may be open at once */

mtype = { free, held, asking, running, ended };          /* agent */
mtype = { none, not_run, unknown, whole, other, down };   /* told, replies */
mtype = { claimed, answered, released };                  /* row */
mtype = { written, found, refused };                      /* table's replies */

/* The row; revision 0: there is none. */
byte row_revision, row_owner;
mtype row_progress;
byte revisions;

typedef Write { bool open; byte check; mtype progress };
typedef Client {
  Write write[SLOTS];
  byte waits;                /* slot whose answer is awaited, plus one */
  mtype reply;
  byte revision, owner;      /* the row as the table's reply gave it */
  mtype progress;
};
Client client[CLAIMS];

typedef Net { bool offer, ask, grant, deny, revoke, recall, refuse, forget, done };
Net net[CLAIMS];

mtype gate[CLAIMS];
mtype told[CLAIMS];
bool ran[CLAIMS];
bool settled[CLAIMS];
byte runs;

inline start(c) {
  runs++;
  assert(runs <= 1);
  assert(told[c] != not_run);
  ran[c] = true;
  gate[c] = running
}

inline tell(c, what) {
  assert(told[c] == none);
  assert(what != not_run || !ran[c]);
  assert(what != whole || ran[c]);
  told[c] = what
}

/* Sends a write from a slot that is free. */
inline send(c, expected, state) {
  atomic {
    if
    :: !client[c].write[0].open -> slot = 0
    :: client[c].write[0].open && !client[c].write[1].open -> slot = 1
    fi;
    client[c].write[slot].open = true;
    client[c].write[slot].check = expected;
    client[c].write[slot].progress = state;
    client[c].waits = slot + 1;
    client[c].reply = none
  }
}

/* Opens a new link and offers again. */
inline offer_again(c) {
  net[c].offer = true;
#ifndef NO_GUARD_LINK
  net[c].ask = false; net[c].refuse = false; net[c].forget = false
#endif
}

inline look(c) {
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
      :: client[c].waits == s + 1 -> client[c].reply = written; client[c].revision = revisions;
           client[c].waits = 0
      :: else
      fi
    fi;
    if
    :: client[c].waits == s + 1 -> look(c); client[c].reply = found; client[c].waits = 0
    :: else
    fi
  }
}

inline turn_away(c, s) {
  atomic {
    client[c].write[s].open && client[c].waits == s + 1 ->
    client[c].write[s].open = false;
    client[c].reply = refused;
    client[c].waits = 0
  }
}

proctype Table(byte c) {
end:
  do
  :: take_effect(c, 0)
  :: take_effect(c, 1)
  :: turn_away(c, 0)
  :: turn_away(c, 1)
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
  :: atomic { client[c].reply == none -> client[c].waits = 0; unsure = true;
#ifdef NO_GUARD_UNSURE
       goto offer
#else
       goto claim_read
#endif
     }
  fi;
claim_read:
  if
  :: atomic { look(c); goto claim_found }
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
       :: client[c].progress == claimed -> tell(c, other); goto stop
#endif
       :: client[c].progress == answered -> tell(c, other); goto stop
       fi }
  fi;
claim_down:
  atomic {
    tell(c, not_run);
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
  :: goto over_not_run
  :: atomic { start(c); goto short_started }
  fi;
short_started:
  if
  :: atomic { tell(c, whole); closing = answered; goto close }
  :: atomic { tell(c, unknown); goto stop }
  fi;
#endif
  net[c].offer = true;
offered:
  if
  :: atomic { net[c].ask -> net[c].grant = true; goto granted }
  :: atomic { net[c].refuse || net[c].forget -> goto over_not_run }
  :: atomic { !net[c].offer -> offer_again(c); goto offered }
  :: goto over_not_run                                        /* link lost */
  :: atomic { net[c].revoke = true; goto over_not_run }       /* gives up */
  fi;
granted:
  if
#ifdef NO_GUARD_ONCE
  :: atomic { net[c].ask -> net[c].grant = true; goto granted }
#else
  :: atomic { net[c].ask && !net[c].deny -> net[c].deny = true; goto granted }
#endif
#ifdef NO_GUARD_OFFER
  :: atomic { !net[c].offer -> offer_again(c); goto granted }
#endif
  :: atomic { net[c].refuse -> goto over_not_run }
#ifdef NO_GUARD_FORGET
  :: atomic { net[c].forget -> goto over_not_run }
#else
  :: atomic { net[c].forget -> tell(c, unknown); goto stop }
#endif
  :: atomic { !net[c].recall -> net[c].recall = true; goto granted }
  :: atomic { net[c].done -> tell(c, whole); closing = answered; goto close }
#ifdef NO_GUARD_WORD
  :: goto over_not_run
#else
  :: atomic { tell(c, unknown); goto stop }                   /* link lost */
#endif
  fi;
over_not_run:
  atomic { tell(c, not_run); closing = released }

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
  :: atomic { client[c].reply == none -> client[c].waits = 0; goto close_read }
  fi;
close_read:
  atomic { look(c) }
close_found:
  if
  /* Another claim's row counts as moved on only if no write of ours still expects it. */
  :: atomic { client[c].revision > 0 && client[c].owner != c + 1 ->
       if
#ifndef NO_GUARD_MOVED
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
    settled[c] = (told[c] == not_run);
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
  :: atomic { gate[c] == free && net[c].offer -> gate[c] = held }
#ifdef NO_GUARD_PERMIT
  :: atomic { gate[c] == held -> start(c) }
#else
  :: atomic { gate[c] == held -> gate[c] = asking; net[c].ask = true }
#endif
  :: atomic { gate[c] == asking && net[c].grant -> start(c) }
  :: atomic { (gate[c] == held || gate[c] == asking) && net[c].revoke ->
       gate[c] = ended; net[c].refuse = true }
#ifndef STAYS
  :: atomic { gate[c] == held || gate[c] == asking ->          /* leaves */
       gate[c] = ended; net[c].refuse = true }
#endif
  :: atomic { (gate[c] == held || gate[c] == asking) && net[c].deny -> gate[c] = ended }
  :: atomic { gate[c] == held || gate[c] == asking -> gate[c] = ended }   /* link lost */
  :: atomic { gate[c] == running -> gate[c] = ended; net[c].done = true }
  :: atomic { gate[c] == free && (net[c].revoke || net[c].recall) && !net[c].forget ->
       net[c].forget = true }
  :: atomic { gate[c] != free ->                               /* crash and restart */
       gate[c] = free;
#ifndef NO_GUARD_LINK
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
      told[c] = none;
      client[c].reply = none;
      run Table(c);
      run Entry(c);
#ifndef SHORT_CALL
      run Agent(c)
#endif
    }
  }
}
