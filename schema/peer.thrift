// Messages between entries, and what is stored in the rows of the platform's table (compact protocol).
// Times in rows are wall-clock milliseconds; durations are milliseconds. Ids are the strings operators see.
// Fields are only ever added, with a new number and a default, so that entries of two versions can share a table.
namespace cpp skylarkhub.wire

struct resources_row {
  1: i64 cpu_millis = 0
  2: i64 memory_mib = 0
  3: i32 accelerators = 0
}

// What one job asks for; a service is a job whose tasks serve requests until it is removed.
struct job_spec_row {
  1: string team
  2: string name
  3: string kind            // name of a work kind in the settings
  4: resources_row declared // per task
  5: i32 task_count = 1
  6: i32 urgency = 1        // 0 patient, 1 normal, 2 urgent
  7: i64 run_time_ms = 0    // declared, 0 when unknown
  8: i32 attempt_limit = 5  // failed attempts of one task before its job is parked
  9: bool is_service = false
  10: i32 slots = 0         // of one service task
  11: i32 connections = 0   // of one service task
  12: string payload
  13: string standing       // standing work that created this job, if any
  14: i64 due_ms = 0        // due time of that standing work
}

// A worker that crashed under a run, and the run is charged with it.
struct crash_row {
  1: i64 run = 0 // its number among those of the task
  2: string worker
  3: i64 age_ms = 0 // of the run when the worker no longer answered
  4: i64 at_ms = 0
  5: double rate = 0 // crashes a second of each worker by other causes
  6: bool beside = false // the task is not charged with it: something else there is the likelier cause
  7: bool alone = false  // its start was answered or is `unseen`, and nothing else had been started there since
  8: i64 born = 0        // of the worker's life that crashed; 0: not told
  9: bool unseen = false // no owner saw when the worker stopped answering, so that its age is assumed
}

enum task_phase_row { queued = 0, finished = 1, parked = 2, cancelled = 3 }

// Only what must outlast the entries: running is not stored, the workers' inventory tells it.
struct task_row {
  1: i32 index
  2: task_phase_row phase = task_phase_row.queued
  3: optional i32 attempts_failed = 0
  4: i64 attempt = 0        // highest attempt whose outcome is recorded here
  5: optional string last_reason
  6: optional string checkpoint // newest durable one that the row's writer knew of, may be older than the newest
  7: optional double checkpoint_progress = 0
  8: optional list<crash_row> crashes
}

// Neighbouring tasks of one phase of which nothing else has to be told.
struct task_span_row {
  1: i32 first
  2: i32 count
  3: task_phase_row phase = task_phase_row.queued
}

// One cell's part of a job: tasks first_task .. first_task + task_total - 1.
struct job_row {
  1: string job
  2: job_spec_row spec
  3: i32 first_task = 0
  4: i32 task_total = 1
  5: list<task_row> tasks   // those of which more than a phase has to be told, and those that just finished
  6: bool cancelling = false
  7: i64 accepted_ms = 0
  8: i64 ended_ms = 0       // when the last task ended, 0 while any is open
  9: list<task_span_row> spans // tasks that are not in `tasks` and not queued
}

struct cell_row {
  1: string cell
  2: i64 epoch = 0
  3: string owner           // incarnation: entry id and start stamp
  4: list<string> deputies  // incarnations
  5: i64 renewal = 0        // raised by each write of the owner
  7: bool handed_over = false // the owner stopped by plan: takers need not wait
  8: list<string> workers   // written before the first start on each: only these can hold tasks of this epoch or before
}

// An instruction any entry may leave for the owner of a cell; removed by the write that carries it out.
struct inbox_row {
  1: string operation
  2: optional job_row submit
  3: optional string cancel_job
  4: optional string resume_job // takes a parked job out of its park
}

// Where the parts of a job live; written with the inbox rows in one transaction. Key: team and caller's operation key.
struct job_index_row {
  1: string job
  2: string team
  3: string fingerprint     // hash of the spec: the same key with another spec is a conflict
  4: list<string> cells
  5: i64 accepted_ms = 0
}

struct standing_row {
  1: string name
  2: string team
  3: job_spec_row spec
  4: i64 period_ms = 0
  5: i64 first_due_ms = 0
  6: i64 next_due_ms = 0
  7: i32 catch_up = 1       // missed due times that are still run after a gap, newest first
  8: i64 run_count = 0
  9: i64 missed_count = 0
  10: bool stopped = false
  12: string open_job       // job of the last due time that was run; the next waits until it has ended
  13: list<string> open_cells
  14: string open_operation // of the accept that made it
  15: i64 last_run_ms = 0   // due time of that job
}

// One settings subtree. The version row lists the version of every subtree, so one read tells what moved.
struct settings_row {
  1: string path            // "defaults", "data_centre/NAME" or "team/NAME"
  2: i64 version = 0
  3: string document        // JSON, checked before it was written
  4: string author
  5: i64 changed_ms = 0
  7: bool removed = false
  8: list<i64> past         // versions this one replaced whose history rows are kept, oldest first
  9: string operation       // of the change that wrote it, so that a repeated try finds its own
}
struct settings_versions_row {
  1: i64 version = 0
  2: map<string, i64> subtrees
}

// The claim of a non-idempotent request, written before its bytes leave the entry.
enum claim_state_row { claimed = 0, answered = 1, not_run = 2 }
struct request_claim_row {
  1: string key
  2: string team
  3: string service_name
  4: string owner           // incarnation of the entry that dispatches it
  5: claim_state_row state = claim_state_row.claimed
  6: i32 status = 0
  7: optional string body   // the whole answer, for the caller's own retries; absent when too large to keep
  8: string fingerprint
  9: i64 claimed_ms = 0
}

// --- between entries ---

enum member_state_wire { live = 0, suspect = 1, leaving = 2, dead = 3 }
struct member_wire {
  1: string incarnation
  2: string entry
  3: string data_centre
  4: string peer_address
  5: string http_address
  6: member_state_wire state = member_state_wire.live
  7: i64 version = 0        // raised by the member itself; the higher wins
  8: i64 settings_version = 0
}
struct probe_request {
  1: string sender
  2: i64 sequence
  3: list<member_wire> news
  4: i64 settings_version = 0
  5: string probe_for       // ask the receiver to probe this member, empty for a direct probe
}
struct probe_reply {
  1: string incarnation
  2: i64 sequence
  3: list<member_wire> news
  4: i64 settings_version = 0
  5: bool reached = true    // of probe_for
}

// A deputy's promise not to take the cell over for `promise_ms` of its own clock from receiving the request.
struct hold_request { 1: string cell, 2: i64 epoch, 3: string owner, 4: i64 promise_ms }
struct hold_reply { 1: bool promised = false, 2: string incarnation, 3: string reason }

struct cell_summary {
  1: string cell
  2: string owner
  3: i64 epoch = 0
  4: resources_row free
  5: i64 queued = 0
  6: i64 running = 0
  7: i64 stamp = 0          // raised by the owner
}
struct target_wire {
  1: string target
  2: string service_name
  3: string data_centre
  4: string address
  5: i32 slots = 0
  6: i32 connections = 0
  7: bool leaving = false
}
// What an owner tells its peers about its cells: room for new work, and the service tasks it runs.
struct cell_news {
  1: cell_summary summary
  2: list<target_wire> targets
}

// Every subtree above `newer_than`; together with what was in force then, complete up to `version`.
struct settings_push { 1: i64 version, 2: list<settings_row> subtrees, 3: i64 newer_than = 0 }

service entry_peer {
  probe_reply probe(1: probe_request request)
  hold_reply hold(1: hold_request request)
  oneway void tell_cells(1: string sender, 2: list<cell_news> news)
  oneway void inbox_hint(1: string cell)
  i64 push_settings(1: settings_push push)
  settings_push pull_settings(1: i64 newer_than)
  // A report of this entry alone, as JSON, for the entry that merges them.
  string report(1: string what)
}
