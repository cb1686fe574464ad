/* A task that moves between two cells: what their rows tell of it, and who may start it.
 *
 * Each cell has an owner and one that may follow it. A follower stands in for everything that models/cell_ownership.pml
 * proves: once it has accounted for the cell's workers, what runs there is known to it and the owner before starts
 * nothing. Here it is the rows that matter: writes come into force late or never, news are heard late or never, and an
 * owner that was followed goes on deciding.
 *
 * VARIANT_BROKEN_... one safeguard is left out, which must show as an error:
 *   FORGETS          a giver's row is written without the news for the receiver, which is told by a message only
 *   TOLD_EARLY       a receiver is told before the giver's row is written
 *   START_UNWRITTEN  a receiver starts the task before its own row tells that it has it
 *   NO_FENCE         a write is not checked against the cell's fence
 *   READ_FIRST       a follower reads the rows before it writes the fence
 */

#define CELLS 2
#define OWNERS 2 /* of a cell, one after the other */
#define MOVES 3
#define OTHER(c) (1 - (c))

/* Where the task is, as somebody knows it: the fact with most moves is in force. */
typedef place {
    byte moves;
    byte home;
};

typedef owner_state {
    bool present; /* it has taken the cell and read its rows */
    bool lost;    /* it knows that it was followed */
    bool has_read;
    place known;
    byte written; /* moves that its cell's row tells, as far as it has heard */
    byte taken;   /* moves that it knew when it took the cell: for such a task it waits until it has accounted */
    bool runs;    /* the task, by its start */
    bool sent;    /* a write is under way */
    place sends;
};

typedef cell_state {
    byte fence;     /* of which owner: 0 the first */
    byte accounted; /* for all workers, by this owner; no earlier one's start is accepted any more */
    place row;
    place news;     /* from the other cell, written with its row */
    place message;  /* from the other cell's owner, not in the table */
    owner_state owner[OWNERS];
};
cell_state cell[CELLS];

/* The task is in exactly one cell, and whoever takes that cell over finds it there. */
bool kept = true;

#define IN_FORCE(c) (cell[c].row.moves > cell[OTHER(c)].row.moves || (cell[c].row.moves == cell[OTHER(c)].row.moves && c == 0))
#define FOUND(c) ((cell[c].row.moves >= cell[c].news.moves && cell[c].row.home == c) || \
                  (cell[c].news.moves > cell[c].row.moves && cell[c].news.home == c))

#ifdef VARIANT_BROKEN_NO_FENCE
#define FENCE_HOLDS(c, o) true
#else
#define FENCE_HOLDS(c, o) (cell[c].fence == o)
#endif
#ifdef VARIANT_BROKEN_START_UNWRITTEN
#define RECEIVED(c, o) true
#else
#define RECEIVED(c, o) (cell[c].owner[o].written >= cell[c].owner[o].known.moves)
#endif

#define ACTS(c, o) (cell[c].owner[o].present && !cell[c].owner[o].lost)
#define HAS(c, o) (ACTS(c, o) && cell[c].owner[o].known.home == c)
#define RUNS(c) (cell[c].owner[0].runs || cell[c].owner[1].runs)
/* What an owner before has started is known only once all workers have told. */
#define IDLE(c, o) (!cell[c].owner[o].runs && (cell[c].accounted != o || !RUNS(c)))
#define MAY_START(c, o) (HAS(c, o) && RECEIVED(c, o) && IDLE(c, o) && cell[c].accounted <= o && \
                         (cell[c].accounted == o || cell[c].owner[o].known.moves > cell[c].owner[o].taken))

inline learn(c, o, from)
{
    cell[c].owner[o].known.moves = from.moves;
    cell[c].owner[o].known.home = from.home;
}

inline check()
{
    if
    :: IN_FORCE(0) -> kept = FOUND(cell[0].row.home)
    :: else -> kept = FOUND(cell[1].row.home)
    fi;
    assert(kept);
    assert(cell[0].owner[0].runs + cell[0].owner[1].runs + cell[1].owner[0].runs + cell[1].owner[1].runs <= 1)
}

/* Everything that owner `o` of cell `c` can do, in any order and at any time. */
proctype owner_acts(byte c; byte o)
{
    do
    /* It follows the owner before: the fence, then the rows. */
#ifdef VARIANT_BROKEN_READ_FIRST
    :: atomic { o > 0 && !cell[c].owner[o].has_read ->
        cell[c].owner[o].has_read = true;
        learn(c, o, cell[c].row);
        cell[c].owner[o].written = cell[c].row.moves;
        if
        :: cell[c].news.moves > cell[c].row.moves -> learn(c, o, cell[c].news)
        :: else
        fi;
        cell[c].owner[o].taken = cell[c].owner[o].known.moves }
    :: atomic { o > 0 && cell[c].owner[o].has_read && !cell[c].owner[o].present ->
        cell[c].fence = o;
        cell[c].owner[o].present = true }
#else
    :: atomic { o > 0 && cell[c].fence < o -> cell[c].fence = o }
    :: atomic { o > 0 && cell[c].fence == o && !cell[c].owner[o].present ->
        cell[c].owner[o].present = true;
        learn(c, o, cell[c].row);
        cell[c].owner[o].written = cell[c].row.moves;
        if
        :: cell[c].news.moves > cell[c].row.moves -> learn(c, o, cell[c].news)
        :: else
        fi;
        cell[c].owner[o].taken = cell[c].owner[o].known.moves }
#endif
    :: atomic { ACTS(c, o) && cell[c].accounted < o -> cell[c].accounted = o }
    /* It hears news, from the table or by a message. */
    :: atomic { ACTS(c, o) && cell[c].news.moves > cell[c].owner[o].known.moves -> learn(c, o, cell[c].news) }
    :: atomic { ACTS(c, o) && cell[c].message.moves > cell[c].owner[o].known.moves -> learn(c, o, cell[c].message) }
    /* It writes what its row does not tell yet. */
    :: atomic { ACTS(c, o) && !cell[c].owner[o].sent && cell[c].owner[o].written < cell[c].owner[o].known.moves ->
        cell[c].owner[o].sent = true;
        cell[c].owner[o].sends.moves = cell[c].owner[o].known.moves;
        cell[c].owner[o].sends.home = cell[c].owner[o].known.home }
    /* The write comes into force, perhaps long after; its answer may be lost, then it is written again. */
    :: atomic { cell[c].owner[o].sent && FENCE_HOLDS(c, o) ->
        cell[c].owner[o].sent = false;
        cell[c].row.moves = cell[c].owner[o].sends.moves;
        cell[c].row.home = cell[c].owner[o].sends.home;
#ifndef VARIANT_BROKEN_FORGETS
        if
        :: cell[c].row.home != c && cell[c].row.moves > cell[OTHER(c)].news.moves ->
            cell[OTHER(c)].news.moves = cell[c].row.moves;
            cell[OTHER(c)].news.home = cell[c].row.home
        :: else
        fi;
#endif
        if
        :: cell[c].owner[o].written = cell[c].owner[o].sends.moves;
            cell[OTHER(c)].message.moves = cell[c].row.moves;
            cell[OTHER(c)].message.home = cell[c].row.home
        :: true
        fi;
        check() }
    :: atomic { cell[c].owner[o].sent && !FENCE_HOLDS(c, o) ->
        cell[c].owner[o].sent = false;
        cell[c].owner[o].lost = true }
    :: atomic { cell[c].owner[o].sent -> cell[c].owner[o].sent = false } /* lost on its way */
    /* It starts the task, which ends at any time. */
    :: atomic { MAY_START(c, o) ->
        cell[c].owner[o].runs = true;
        check() }
    :: atomic { cell[c].owner[o].runs -> cell[c].owner[o].runs = false }
    /* It gives the task away. */
    :: atomic { MAY_START(c, o) && !cell[c].owner[o].sent && cell[c].owner[o].known.moves < MOVES ->
        cell[c].owner[o].known.moves++;
        cell[c].owner[o].known.home = OTHER(c);
#ifdef VARIANT_BROKEN_TOLD_EARLY
        cell[OTHER(c)].message.moves = cell[c].owner[o].known.moves;
        cell[OTHER(c)].message.home = OTHER(c);
#endif
      }
    od
}

init
{
    atomic {
        cell[1].row.home = 0;
        cell[0].owner[0].present = true;
        cell[1].owner[0].present = true;
        run owner_acts(0, 0);
        run owner_acts(0, 1);
        run owner_acts(1, 0);
        run owner_acts(1, 1)
    }
}
