/*
 * Lease and fencing tokens.
 *
 * Two processes contend for a row of the table. The holder renews it; the other one takes it over
 * once it has seen the row unchanged for DURATION on its own clock, which may run fast by DRIFT
 * over that time. A holder acts until MARGIN before the lease could expire, counted from when its
 * last write was sent. Processes may pause anywhere, also between reading the clock and sending an
 * order. Writes may be rejected, lose their response or take effect late. Reads take one step,
 * since a slow one only delays the reader. Orders are delivered at any time, in any order and
 * repeatedly. The agent may crash and forget.
 *
 * Checked: two processes never act at once by their own clocks; the engine never carries out an
 * order of an earlier holder after one of a later holder. With CHECKED, the engine compares the
 * fencing tokens; without it, the agent does.
 *
 * The two properties are checked separately, since the second one needs no clock: with ORDERS, a
 * process may take over at any time, and a holder may send an order however long ago its lease
 * expired.
 *
 * Each NO_GUARD_x removes one guard; Spin then finds a counterexample.
 */

#define DURATION 3
#define DRIFT 1
#ifdef NO_GUARD_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#ifndef END
#define END 5      /* last tick of the clock */
#endif
#ifndef MAX_REVISIONS
#define MAX_REVISIONS 4 /* maximum number of writes that take effect */
#endif
#define MAX_HOLDERS 5  /* upper bound of successive holders within END, plus one */

mtype = { idle, wait, written, found };

byte now;

/* The row; at revision 0 there is none. `epoch` counts holders and is not used by any guard. */
byte row_revision, row_holder, row_fence, row_epoch;

typedef Process {
  /* the pending write */
  bool open;
  byte check, fence;
  mtype reply;
  byte reply_revision, reply_epoch;   /* revision and epoch in the table's reply */
  /* the row as last received */
  bool known;
  byte revision, holder, seen_fence, epoch, unchanged_since;
  /* times are stored plus one; zero means none */
  byte sent_at, unsure_since, renewed;
};
Process process[2];

bool order[MAX_HOLDERS];
byte order_fence[MAX_HOLDERS];

#ifdef CHECKED
byte engine_token;
#else
bool agent_has_token;
byte agent_token, read_token;
#endif
byte executed_epoch;

#ifdef ORDERS
#define may_act(p) (process[p].known && process[p].holder == p + 1)
#define expired(p) true
#define renewal_due(p) false
#else
#define expired(p) (now >= process[p].unchanged_since + DURATION - DRIFT)
#define renewal_due(p) (now + 1 > process[p].renewed)
#define may_act(p) (process[p].renewed > 0 && process[p].known && \
  process[p].holder == p + 1 && now + 1 < process[p].renewed + DURATION - MARGIN)
#endif

inline apply_row(p) {
  if
  :: process[p].revision != row_revision || !process[p].known ->
#ifndef NO_GUARD_UNCHANGED
       if
       :: process[p].revision != row_revision -> process[p].unchanged_since = now
       :: else
       fi;
#endif
       if
       :: process[p].revision != row_revision ->
#ifdef NO_GUARD_SENT
            process[p].renewed = now + 1;
#else
            process[p].renewed = process[p].unsure_since;
#endif
            process[p].unsure_since = 0
       :: else
       fi
  :: else
  fi;
  process[p].known = true;
  process[p].revision = row_revision;
  process[p].holder = row_holder;
#ifdef ORDERS
  process[p].seen_fence = row_fence;
  process[p].epoch = row_epoch;
#endif
  if
  :: row_holder == p + 1 -> process[p].unchanged_since = 0
  :: else
  fi
}

inline send_write(p, number) {
  process[p].open = true;
  process[p].check = process[p].revision;
  process[p].fence = number;
  process[p].reply = wait;
  process[p].sent_at = now + 1;
  if
  :: process[p].unsure_since == 0 -> process[p].unsure_since = now + 1
  :: else
  fi
}

proctype Table(byte p) {
end:
  do
  :: atomic {
       process[p].open && row_revision < MAX_REVISIONS ->
       process[p].open = false;
       if
#ifndef NO_GUARD_CHECK
       :: process[p].check != row_revision -> skip
       :: process[p].check == row_revision ->
#else
       :: true ->
#endif
            row_revision++;
#ifdef ORDERS
            if
            :: row_holder != p + 1 -> row_epoch++
            :: else
            fi;
            row_fence = process[p].fence;
#endif
            row_holder = p + 1;
            if
            :: process[p].reply == wait -> process[p].reply = written;
                 process[p].reply_revision = row_revision; process[p].reply_epoch = row_epoch
            :: else
            fi
       fi;
       if
       :: process[p].reply == wait -> process[p].reply = found
       :: else
       fi
     }
  :: atomic { process[p].reply == wait -> process[p].open = false; process[p].reply = idle }
  od
}

proctype Contender(byte p) {
  byte fence, epoch;
end:
  do
  /* read, or read back */
  :: atomic { process[p].reply == idle -> apply_row(p) }
  /* renew */
  :: atomic { process[p].reply == idle && !process[p].open && process[p].known &&
       process[p].revision > 0 && process[p].holder == p + 1 && renewal_due(p) ->
       send_write(p, process[p].seen_fence) }
  /* take over */
  :: atomic { process[p].reply == idle && !process[p].open && process[p].known &&
       process[p].holder != p + 1 && (process[p].revision == 0 || expired(p)) ->
#ifndef ORDERS
       send_write(p, 0)
#else
#ifdef NO_GUARD_INCREASE
       send_write(p, 1)
#else
       send_write(p, process[p].seen_fence + 1)
#endif
#endif
     }
  :: atomic { process[p].reply == written ->
       process[p].reply = idle;
       process[p].known = true;
       process[p].revision = process[p].reply_revision;
       process[p].holder = p + 1;
       process[p].seen_fence = process[p].fence;
       process[p].epoch = process[p].reply_epoch;
       process[p].unchanged_since = 0;
       process[p].reply_revision = 0;
       process[p].reply_epoch = 0;
#ifdef NO_GUARD_SENT
       process[p].renewed = now + 1;
#else
       process[p].renewed = process[p].sent_at;
#endif
       process[p].unsure_since = 0;
       process[p].sent_at = 0 }
  :: atomic { process[p].reply == found -> process[p].reply = idle; apply_row(p) }
  /* the response is lost */
  :: atomic { process[p].reply == wait -> process[p].reply = idle; process[p].known = false }
#ifdef ORDERS
  /* reads its clock, and sends the order at any later time */
  :: atomic { fence == 0 && may_act(p) ->
       fence = process[p].seen_fence; epoch = process[p].epoch }
  :: atomic { fence > 0 ->
       order[epoch] = true; order_fence[epoch] = fence;
       fence = 0; epoch = 0 }
#endif
  od
}

inline execute(e) {
  assert(e >= executed_epoch);
  executed_epoch = e
}

/* Delivers the orders of holder `e`. */
proctype Deliver(byte e) {
end:
  do
#ifdef CHECKED
#ifdef NO_GUARD_FENCE
  :: atomic { order[e] -> execute(e) }
#else
  :: atomic { order[e] && order_fence[e] >= engine_token -> engine_token = order_fence[e]; execute(e) }
#endif
#else
#ifdef NO_GUARD_FENCE
  :: atomic { order[e] && agent_has_token -> execute(e) }
#else
#ifdef NO_GUARD_READ
  :: atomic { order[e] && order_fence[e] >= agent_token ->
#else
  :: atomic { order[e] && agent_has_token && order_fence[e] >= agent_token ->
#endif
       agent_has_token = true; agent_token = order_fence[e]; read_token = 0; execute(e) }
#endif
#endif
  od
}

#ifndef CHECKED
/* The agent reads the current token, learns it at any later time, and crashes. */
proctype Agent() {
end:
  do
  :: atomic { !agent_has_token && read_token == 0 -> read_token = row_fence }
  :: atomic { !agent_has_token && read_token > 0 ->
       agent_has_token = true; agent_token = read_token; read_token = 0 }
  :: atomic { agent_has_token -> agent_has_token = false; agent_token = 0; read_token = 0 }
  od
}
#endif

proctype Clock() {
end:
  do
  :: atomic { now < END -> now++; assert(!(may_act(0) && may_act(1))) }
  :: atomic { assert(!(may_act(0) && may_act(1))) }
  od
}

init {
  atomic {
    process[0].reply = idle;
    process[1].reply = idle;
    run Table(0);
    run Table(1);
    run Contender(0);
    run Contender(1);
#ifdef ORDERS
    run Deliver(1);
    run Deliver(2);
    run Deliver(3);
    run Deliver(4);
#ifndef CHECKED
    run Agent()
#endif
#else
    run Clock()
#endif
  }
}
