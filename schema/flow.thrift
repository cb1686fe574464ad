// Rows and messages of jobs made of dependent steps (compact protocol). Times are wall-clock milliseconds, durations
// milliseconds. Fields are only ever added, with a new number and a default.
namespace cpp skylarkhub.wire

include "peer.thrift"

struct flow_step_row {
  1: i32 count = 1
  2: i64 cpu_millis = 0
  3: i64 memory_mib = 0
  4: i32 accelerators = 0
  5: i64 estimate_ms = 0
  6: list<i32> after
  7: i32 traits = 0           // bit set, see flow_row.cpp
  8: string label             // the worker must have it
  9: string data_rack         // slower on any other rack
  10: i32 per_worker_most = 0 // 0: no limit
  11: string image
  12: i64 tail_target_ms = 0
  13: i32 unavailable_most = 0
}

// A task that another cell than its job's takes care of. Only the cell that has it moves it on, while no run of it lives.
struct flow_home_row {
  1: string cell
  2: i64 epoch = 0     // of that cell when the task was given to it
  3: i64 run_floor = 0 // its runs are numbered above
  4: i32 moves = 0     // the highest is in force
}

// The newest run of a task that may have been started. Numbers rise over owners and cells, so the highest is in force.
struct flow_start_row {
  1: string worker // empty: the run has certainly ended
  2: i64 run = 0
  3: i64 born = 0 // of the worker's life that it was sent to; 0: not told
  4: i64 at_ms = 0      // when it was recorded; 0: not told
  5: bool alone = false // on a worker that takes no other starts meanwhile, as its task may crash workers
}

// Packed fields hold what the plain ones of the same name do, in rows that would otherwise be larger than the table takes;
// of the two, a row has one. They are written and read in flow_row_pack.cpp.

// A sequence of numbers: for each its place in `values`, in as many bits as the last place takes.
struct flow_packed_column {
  1: list<i64> values // ascending
  2: binary places
}

struct flow_packed_starts {
  1: binary tasks // bit per task
  2: flow_packed_column lives // places in flow_job_row::lives
  3: flow_packed_column runs
}

struct flow_packed_homes {
  1: binary tasks // bit per task
  2: flow_packed_column homes // places in flow_job_row::homes
}

struct flow_packed_runs {
  1: binary tasks // bit per task
  2: flow_packed_column counts // of the task's runs
  3: flow_packed_column runs // of all tasks in turn
}

struct flow_worker_life {
  1: string worker
  2: i64 born = 0
}

// What is certain about the tasks of one step in one occurrence. Facts are only ever added.
struct flow_stage_row {
  1: i32 occurrence = 0
  2: i32 step = 0
  3: binary done              // bit per task
  5: map<i32, string> checkpoints
  6: map<i32, flow_home_row> homes
  8: map<i32, list<i64>> failed_runs // task -> the runs that failed; no more than its attempts
  9: map<i32, flow_start_row> starts  // of a step whose starts are noted, or of a task that is started alone
  10: map<i32, list<peer.crash_row>> crashes
  11: map<i32, i64> outlived // task -> a run that lived long or ended by itself: crashes up to it no longer count
  12: optional flow_packed_starts packed_starts
  13: optional flow_packed_homes packed_homes
  14: optional flow_packed_runs packed_failed_runs
  15: optional flow_packed_runs packed_outlived
  16: i32 joined_tasks = 0 // of each occurrence, in joined stages
}

// Occurrences of a job all of whose tasks are done.
struct flow_occurrence_span {
  1: i32 first = 0
  2: i32 past_last = 0
}

// What one writer tells of a job. In flow-cell-jobs, CELL/JOB is what the owner of the cell knows and decides; only it writes
// the row, and the row tells what was asked too. In flow-news, CELL/JOB/WRITER is what another one tells the owner of the
// cell: the entry that accepted the job, one that cancelled it, or the owner of another cell, which writes it in the same
// transaction as its own row. In flow-index, JOB is what callers ask: accepted, started, outcome. Facts are only ever
// added, so what is known of a job in a cell is its row and its news together.
struct flow_job_row {
  1: string queue
  2: string service_name
  3: string payload
  4: list<flow_step_row> steps
  5: i32 occurrences = 0      // 0: once, at once
  6: i64 first_due_ms = 0
  7: i64 interval_ms = 0
  8: string cell
  9: i64 cell_epoch = 0       // of the cell when the job was bound to it; numbers of runs start from it
  10: string accepted_by      // peer address of the entry that answers the caller
  11: string accept_token     // of the write that accepted it, so that a lost answer can be settled
  12: bool cancelled = false
  13: i32 outcome = 0             // 0 none, 1 done, 2 failed, 3 cancelled
  14: list<flow_stage_row> stages
  15: i64 accepted_ms = 0
  16: bool started = false    // what callers are shown; with a start that is noted, before it is sent
  17: i32 failures_most = 1
  18: i32 priority = 0
  19: i64 run_base = 0        // numbers of runs start above it; raised when the job moves to another cell
  21: bool starts_noted = false // by whoever has written the row: a task without a note was never started
  22: bool begun = false      // a worker has taken a task
  23: list<flow_occurrence_span> finished // ascending; `stages` need not tell of them
  24: list<flow_worker_life> lives // in packed starts
  25: list<flow_home_row> homes    // in packed homes
  // `starts_noted` of a row with packed starts, which earlier releases do not read: to them it says false.
  26: bool packed_starts_noted = false
  // The stages of several occurrences as one stage for each step. The tasks of an occurrence follow those of the one
  // before it in `joined`. `stages` then holds only what earlier releases refuse to read, as they would take tasks that
  // are done, or that another cell has, for new ones.
  27: list<flow_stage_row> joined_stages
  28: list<flow_occurrence_span> joined
}

// In flow-cell-jobs, CELL/!fence: every write of the cell's owner is checked against it, so that none comes into force once a
// later owner has written its epoch.
struct flow_fence_row {
  1: i64 epoch = 0
}

struct flow_worker_name {
  1: string worker
  2: string address
  // No lease that it has been given lasts longer from when the row was written; -1: not told.
  3: i64 lease_left_ms = -1
  4: bool silent = false // it does not answer the owner, which gives it no lease while the row says so
  5: i64 born = 0 // of the life that answered the owner last; 0: none did, or it does not tell
}

// How many jobs of a cell wait, of those that were accepted up to a version of the table.
struct flow_pending_row {
  3: map<string, i32> pending // queue -> jobs no task of which has started
  4: i64 up_to = 0            // 0: nobody has counted them
}

// A young run on a worker that does not answer: if the worker has crashed, a possible cause.
struct flow_lost_run_row {
  1: string job
  2: i32 occurrence = 0
  3: i32 step = 0
  4: i32 index = 0
  5: i64 run = 0
  6: i64 age_ms = 0 // when the worker no longer answered
  7: bool alone = false
  8: bool accepted = false
  9: bool in_a_wave = false // others stopped answering in the same moment
}

// A worker that stopped answering lately.
struct flow_silence_row {
  1: string worker
  2: i64 born = 0 // of its life; 0: not told
  3: i64 since_ms = 0
  4: bool explained = false         // a task is known to have caused it
  5: list<flow_lost_run_row> runs   // while it is not known whether the worker has crashed
}

struct flow_cell_row {
  1: i64 epoch = 0
  2: string owner             // entry
  3: string incarnation
  4: string address
  5: i64 renewals = 0
  6: bool released = false    // its owner has stopped and sends nothing any more
  7: list<flow_worker_name> workers // only these may run tasks of the cell; the platform's list may have lost some
  8: bool starts_noted = false // by all its owners whose runs may go on
  9: flow_pending_row pending  // the newest count; an owner that reads the rows hands on the one it found
  10: list<flow_silence_row> silences // of the last minute, the newest of them
  11: i64 silences_from_ms = 0        // since when owners have told them; 0: they have not
}

// Which cell the workers of each rack of one data centre belong to. Racks are only ever added.
struct flow_laid_rack {
  1: string cell
  2: i32 workers = 0 // that it was taken to have
}
struct flow_layout_row {
  1: map<string, flow_laid_rack> racks
}

struct flow_entry_row {
  1: string entry
  2: string incarnation
  3: string address
  4: string data_centre
  5: double cores = 1 // of its processor, that it may use
}

struct flow_worker_room {
  1: i32 free_cpu_millis = 0
  2: string serving // the image that serves there; empty: none, "*": several
  3: list<i32> labels // places in the pool's `labels`
  4: optional i64 free_memory_mib // not told by earlier releases
  5: optional i32 free_accelerators
}

// The room of one service's workers in a cell.
struct flow_pool_row {
  1: string service_name
  2: i64 free_cpu_millis = 0  // less what is queued; below 0 when more is queued than fits
  3: i64 total_cpu_millis = 0
  4: list<string> labels
  5: i64 unused_cpu_millis = 0 // less filling work too
  6: i64 lasting_cpu_millis = 0 // committed to lasting tasks
  7: map<string, i32> fill_cpu_millis // filling image -> what more of it is borne
  8: i32 workers = 0
  9: i64 largest_free_memory_mib = 0 // of one worker
  10: list<flow_worker_room> each    // worker, the one with most room first
  11: map<string, i64> serving_cpu_millis // serving image -> committed to its tasks
  12: i64 demand_cpu_millis = 0 // what jobs that end need on average
  13: i64 largest_reservable_cpu_millis = 0 // of one worker, once the tasks there that do not last have ended
}

struct flow_cell_news {
  1: string cell
  2: i64 epoch = 0
  3: list<flow_pool_row> pools
  4: map<string, i32> pending // queue -> jobs no task of which has started
  5: map<string, double> presses // "SERVING|FILLING" -> see interference_model
  8: i64 counted_up_to = 0    // the version of the table up to which all accepted jobs are in `pending`; 0: not counted
  9: i64 counted_ago_ms = 0   // since when others may have been accepted
  10: map<string, i32> pending_newer // as `pending`, of jobs accepted after that version that are known already
}

// What the sender knows of the operator's evacuations of data centres: the state of the table at one version.
struct flow_evacuations {
  1: i64 version = 0 // of the table; 0: nothing is known
  2: i64 age_ms = 0  // since the state was certainly the present one
  3: list<string> data_centres
}

struct flow_hello {
  1: flow_entry_row sender
  2: bool leaving = false
  3: i64 config_version = 0
  4: list<flow_cell_news> cells // that it owns
  5: list<flow_entry_row> members
  6: bool table_away = false // the sender cannot reach the table itself
  7: i64 table_silent_ms = 0 // since the table last answered the sender, whatever it was asked
  9: i64 sent_ms = 0         // on the sender's steady clock
  10: i64 echo_ms = 0        // `sent_ms` of the newest hello that the sender has had of the receiver; 0: of none
  11: i64 echo_ago_ms = 0    // since it had that
  12: flow_evacuations evacuations
  13: i64 job_bytes_left = -1 // that the sender's machine has for further jobs of its cells; -1: not told
}

// A call to the table that the sender asks the receiver to make for it.
struct flow_relayed_row {
  1: string table
  2: string part
  3: string key
  4: i64 version = 0
  5: binary value
  6: bool removed = false
}
struct flow_relayed_commit {
  1: list<flow_relayed_row> checks  // versions
  2: list<flow_relayed_row> puts    // values
  3: list<flow_relayed_row> removes
}
struct flow_relayed_read {
  1: string table
  2: string part
  3: string from_key
  4: string to_key
}
struct flow_relayed_result {
  1: i32 outcome = 0 // of a commit: table_outcome
  2: i64 version = 0
  3: list<flow_relayed_row> rows
  4: bool reached = false // of a read
  5: bool more = false
  6: string reason
  7: bool invalid = false // of a commit that is refused: the table never takes it
}

// A row that an entry has written and the job's owner must know.
struct flow_row_news {
  1: string job
  2: i64 version = 0
  3: binary row
  4: string cell // whose owner is told
  5: string writer // of the row, as in its key
}

struct flow_state_news {
  1: string job
  2: i32 state = 0
}

// Asks for the next piece of the configuration that the receiver has in force.
struct flow_config_ask {
  1: string entry       // who asks
  2: i64 version = 0    // of which it has the bytes before `offset`
  3: i64 offset = 0
}
struct flow_config_piece {
  1: i64 version = 0    // in force at the sender; if it is another than asked for, the piece is its first
  2: i64 offset = 0
  3: binary bytes       // empty: none is handed out now
  4: i64 size = 0       // of the whole text, as the operator wrote it
  5: i64 checksum = 0   // of the whole text
}

// Asks the owner of a cell for a place on a worker, for a lasting task that another cell has.
struct flow_place_ask {
  1: string cell // that is asked
  2: string job
  3: i32 occurrence = 0
  4: i32 step_number = 0
  5: i32 index = 0
  6: string service_name
  7: flow_step_row step
  8: bool reserve = false // if none has room now, keep a worker free of short work for the task
}
struct flow_place_answer {
  1: i32 outcome = 0 // place_outcome
  2: i64 epoch = 0   // of the cell's owner
}

// Asks for the platform's list of workers, if the receiver has a newer one than the sender.
struct flow_worker_list_ask {
  1: i64 age_ms = 0 // of the sender's list
}
struct flow_listed_worker_row {
  1: string worker
  2: string address
  3: string data_centre
  4: string service_name
  5: i64 cpu_millis = 0
  6: i64 memory_mib = 0
  7: i32 accelerators = 0
  8: list<string> labels
  9: string rack
  10: bool draining = false
  11: i64 born = 0
}
struct flow_worker_list_row {
  1: i64 age_ms = 0 // since the list was certainly the present one
  2: list<flow_listed_worker_row> workers
}

// 4 and 5 were the whole configuration, told to each peer that was behind.
struct flow_message {
  1: optional flow_hello hello
  2: list<flow_row_news> rows
  3: list<flow_state_news> states
  6: list<string> unknown_jobs // rows refused: the receiver does not own their cell
  7: optional flow_relayed_commit commit
  8: optional flow_relayed_read lookup
  9: optional flow_relayed_result relayed // in return
  10: optional flow_config_ask config_ask
  11: optional flow_config_piece config_piece // in return
  12: optional flow_place_ask place_ask
  13: optional flow_place_answer place_answer // in return
  14: optional flow_worker_list_ask worker_list_ask
  15: optional flow_worker_list_row worker_list // in return
}
