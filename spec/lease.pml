/*
 * Lease and fencing numbers.
 *
 * Two processes contend for a row of the table. The holder renews it; the other takes over once
 * it has seen the row unchanged for DURATION on its own clock, which may run fast by DRIFT over
 * that time. A holder acts until MARGIN before the lease could lapse, counted from when its last
 * write was sent. Processes may pause anywhere, also between the look at the clock and the order.
 * Writes may be refused, lose their answer or take effect late. Reads are in one step: a slow one
 * only delays the reader. Orders are delivered at any time, in any order and repeatedly. The agent may crash and forget.
 *
 * Checked: never may two processes act at once by their own clocks; the engine never carries out
 * an order of an earlier holder after one of a later holder. With CHECKED the engine compares the
 * numbers, without it the agent is the fence.
 *
 * The two are checked apart, since the second needs no clock: with ORDERS a process may take over
 * at any time, and a holder may send an order however long ago it lapsed.
 *
 * Each NO_GUARD_x takes one guard away; spin then finds a counterexample.
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
#ifndef REVISIONS
#define REVISIONS 4 /* writes that take effect at most */
#endif
#define HOLDERS 5  /* upper bound of holders in turn within END, plus one */

mtype = { idle, wait, written, found };

byte now;

/* The row; revision 0: there is none. `epoch` counts holders and is seen by no guard. */
byte row_revision, row_holder, row_fence, row_epoch;

typedef Process {
  /* the write on its way */
  bool open;
  byte check, fence;
  mtype reply;
  byte got, got_epoch;      /* revision and epoch that the table's answer bears */
  /* the row as it was last received */
  bool known;
  byte revision, holder, seen_fence, epoch, since;
  /* times are kept plus one; zero: none */
  byte asked, sent, held;
};
Process process[2];

bool order[HOLDERS];
byte order_fence[HOLDERS];

#ifdef CHECKED
byte engine;
#else
bool agent_knows;
byte agent, agent_read;
#endif
byte carried_out;

#ifdef ORDERS
#define may_act(p) (process[p].known && process[p].holder == p + 1)
#define lapsed(p) true
#define due(p) false
#else
#define lapsed(p) (now >= process[p].since + DURATION - DRIFT)
#define due(p) (now + 1 > process[p].held)
#define may_act(p) (process[p].held > 0 && process[p].known && \
  process[p].holder == p + 1 && now + 1 < process[p].held + DURATION - MARGIN)
#endif

inline take_row(p) {
  if
  :: process[p].revision != row_revision || !process[p].known ->
#ifndef NO_GUARD_WATCH
       if
       :: process[p].revision != row_revision -> process[p].since = now
       :: else
       fi;
#endif
       if
       :: process[p].revision != row_revision ->
#ifdef NO_GUARD_SENT
            process[p].held = now + 1;
#else
            process[p].held = process[p].sent;
#endif
            process[p].sent = 0
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
  :: row_holder == p + 1 -> process[p].since = 0
  :: else
  fi
}

inline send_write(p, number) {
  process[p].open = true;
  process[p].check = process[p].revision;
  process[p].fence = number;
  process[p].reply = wait;
  process[p].asked = now + 1;
  if
  :: process[p].sent == 0 -> process[p].sent = now + 1
  :: else
  fi
}

proctype Table(byte p) {
end:
  do
  :: atomic {
       process[p].open && row_revision < REVISIONS ->
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
                 process[p].got = row_revision; process[p].got_epoch = row_epoch
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
  :: atomic { process[p].reply == idle -> take_row(p) }
  /* renew */
  :: atomic { process[p].reply == idle && !process[p].open && process[p].known &&
       process[p].revision > 0 && process[p].holder == p + 1 && due(p) ->
       send_write(p, process[p].seen_fence) }
  /* take over */
  :: atomic { process[p].reply == idle && !process[p].open && process[p].known &&
       process[p].holder != p + 1 && (process[p].revision == 0 || lapsed(p)) ->
#ifndef ORDERS
       send_write(p, 0)
#else
#ifdef NO_GUARD_GROW
       send_write(p, 1)
#else
       send_write(p, process[p].seen_fence + 1)
#endif
#endif
     }
  :: atomic { process[p].reply == written ->
       process[p].reply = idle;
       process[p].known = true;
       process[p].revision = process[p].got;
       process[p].holder = p + 1;
       process[p].seen_fence = process[p].fence;
       process[p].epoch = process[p].got_epoch;
       process[p].since = 0;
       process[p].got = 0;
       process[p].got_epoch = 0;
#ifdef NO_GUARD_SENT
       process[p].held = now + 1;
#else
       process[p].held = process[p].asked;
#endif
       process[p].sent = 0;
       process[p].asked = 0 }
  :: atomic { process[p].reply == found -> process[p].reply = idle; take_row(p) }
  /* the answer is lost */
  :: atomic { process[p].reply == wait -> process[p].reply = idle; process[p].known = false }
#ifdef ORDERS
  /* looks at its clock, and sends the order at any later time */
  :: atomic { fence == 0 && may_act(p) ->
       fence = process[p].seen_fence; epoch = process[p].epoch }
  :: atomic { fence > 0 ->
       order[epoch] = true; order_fence[epoch] = fence;
       fence = 0; epoch = 0 }
#endif
  od
}

inline carry_out(e) {
  assert(e >= carried_out);
  carried_out = e
}

/* Delivers the orders of holder `e`. */
proctype Deliver(byte e) {
end:
  do
#ifdef CHECKED
#ifdef NO_GUARD_FENCE
  :: atomic { order[e] -> carry_out(e) }
#else
  :: atomic { order[e] && order_fence[e] >= engine -> engine = order_fence[e]; carry_out(e) }
#endif
#else
#ifdef NO_GUARD_FENCE
  :: atomic { order[e] && agent_knows -> carry_out(e) }
#else
#ifdef NO_GUARD_READ
  :: atomic { order[e] && order_fence[e] >= agent ->
#else
  :: atomic { order[e] && agent_knows && order_fence[e] >= agent ->
#endif
       agent_knows = true; agent = order_fence[e]; agent_read = 0; carry_out(e) }
#endif
#endif
  od
}

#ifndef CHECKED
/* The agent reads the current number, learns it at any later time, and crashes. */
proctype Agent() {
end:
  do
  :: atomic { !agent_knows && agent_read == 0 -> agent_read = row_fence }
  :: atomic { !agent_knows && agent_read > 0 ->
       agent_knows = true; agent = agent_read; agent_read = 0 }
  :: atomic { agent_knows -> agent_knows = false; agent = 0; agent_read = 0 }
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
