# Tables of docs/CAPACITY.md. Input: bench/capacity.json. Output: lines "@NAME", each followed by a table in Markdown.

. as $root |
def figure($name): $root.figures[$name].value // error("no figure \($name)");
def size($name): $root.size[$name].value // error("no size \($name)");
def limit($name): $root.limits[$name].value // error("no limit \($name)");

# The mean of the runs of scripts/measure-entry with these arguments.
def mean($runs; f): [$runs[] | f] | add / length;
def run_with($entries; $workers; $rate; $services; $batch; $listed):
  [$root.runs[] | select(.entries == $entries and .workers == $workers and .rate == $rate and .service_tasks == $services
                         and .batch_tasks == $batch and .listed == $listed)] as $found
  | if ($found | length) == 0 then error("no run \([$entries, $workers, $rate, $services, $listed])") else . end
  | {entries: $entries, cpu_percent_each: mean($found; .cpu_percent_each // 0), rss_kib_each: mean($found; .rss_kib_each),
     wire_bytes_per_second: mean($found; .wire_bytes_per_second), list_bytes: mean($found; .list_bytes),
     list_rows: mean($found; .list_rows), table: {reads: mean($found; .table.reads), writes: mean($found; .table.writes)}};
def run($entries; $workers; $rate; $services; $listed): run_with($entries; $workers; $rate; $services; 0; $listed);

def digits($n): (if . < 0 then "-" else "" end) as $sign | (if . < 0 then -. else . end)
  | (. * pow(10; $n) | round) as $scaled
  | if $n == 0 then "\($sign)\($scaled)"
    else ($scaled | tostring) as $text | ("0" * ([$n + 1 - ($text | length), 0] | max) // "") + $text
      | $sign + .[:-$n] + "." + .[-$n:] end;
def grouped: (digits(0)) as $t | if ($t | length) > 3 then $t[:-3] + "," + $t[-3:] else $t end;
def kilobytes: . / 1000 | if . >= 100 then grouped elif . >= 10 then digits(0) else digits(1) end;
def row: "| " + join(" | ") + " |";
def head: row, ([.[] | "---"] | row);
def against($limit): . / $limit | if . >= 10 then digits(0) elif . >= 1 then digits(1) else digits(2) end;

# --- slopes, each from two runs that differ in one thing ---
def slopes:
  run(2; 6; 0; 0; 400) as $few | run(2; 6; 0; 0; 1600) as $many
  | run(6; 24; 0; 0; 0) as $plain | run(6; 24; 0; 66; 0) as $serving
  | run(6; 24; 300; 66; 0) as $some_load | run(6; 24; 600; 66; 0) as $load
  | run(6; 6; 0; 0; 0) as $one_cell | run(6; 48; 0; 0; 0) as $eight_cells
  | run(9; 6; 0; 0; 0) as $nine | run(2; 6; 0; 0; 0) as $two
  | (run(0; 48; 0; 0; 0).wire_bytes_per_second / 48) as $registration
  | ($many.list_rows - $few.list_rows) as $rows
  | (($many.list_bytes - $few.list_bytes) / $rows) as $row_bytes
  | (($many.cpu_percent_each - $few.cpu_percent_each) / $rows) as $row_cpu
  | (($nine.list_bytes - $two.list_bytes) / ($nine.entries - $two.entries)) as $entry_row
  | (($eight_cells.list_bytes - $one_cell.list_bytes) / 42) as $worker_row
  | (($serving.list_bytes - $plain.list_bytes) / 66) as $target_row
  | ((figure("exchange_request_bytes_25_tasks") - figure("exchange_request_bytes_0_tasks")) / 25) as $ask
  | ((figure("exchange_answer_bytes_25_tasks") - figure("exchange_answer_bytes_0_tasks")) / 25) as $answer
  | (($ask + $answer) / 2) as $task_wire
  | run(2; 24; 0; 0; 0) as $idle | run_with(2; 24; 0; 0; 672; 0) as $busy
  | {
      base_cpu: $nine.cpu_percent_each, base_rss: $two.rss_kib_each,
      base_bytes: (($nine.wire_bytes_per_second - 6 * $registration) / 9 - 6 * $worker_row - 9 * $entry_row),
      small_site: (($nine.wire_bytes_per_second - 6 * $registration) / 9),
      smallest_site: (($two.wire_bytes_per_second - 6 * $registration) / 2),
      row_bytes: $row_bytes, row_cpu: $row_cpu, entry_row: $entry_row,
      row_rss: (($many.rss_kib_each - $few.rss_kib_each) / $rows),
      owned_cpu: ((($eight_cells.cpu_percent_each - $one_cell.cpu_percent_each) - 42 * $row_cpu) / 7),
      owned_bytes: ((figure("exchange_request_bytes_0_tasks") + figure("exchange_answer_bytes_0_tasks") + figure("exchange_header_bytes")) / 2),
      task_bytes: $task_wire,
      task_wire_live: (($busy.wire_bytes_per_second - $idle.wire_bytes_per_second) / 672),
      task_cpu: (($busy.cpu_percent_each - $idle.cpu_percent_each) / 336),
      task_rss: (($busy.rss_kib_each - $idle.rss_kib_each) / 336),
      news_bytes: ((($serving.wire_bytes_per_second - $plain.wire_bytes_per_second) / 66 - 6 * $target_row - $task_wire) / 5),
      news_rss: (($serving.rss_kib_each - $plain.rss_kib_each) / 66 - ($many.rss_kib_each - $few.rss_kib_each) / $rows - ($busy.rss_kib_each - $idle.rss_kib_each) / 336 / 6),
      news_cpu: (($serving.cpu_percent_each - $plain.cpu_percent_each) / 66 - $row_cpu),
      writes: (($eight_cells.table.writes - $one_cell.table.writes) / 7),
      reads: (($eight_cells.table.reads - $one_cell.table.reads) / 7),
      request_us: (($load.cpu_percent_each - $some_load.cpu_percent_each) / 100 * 6 / 300 * 1e6),
      request_bytes: (($load.wire_bytes_per_second - $some_load.wire_bytes_per_second) / 300),
      registration: $registration
    };

# --- what they come to at the size to design for ---
def at_size($s):
  size("workers") as $w | size("entries") as $e | size("targets") as $t | (size("batch_tasks") + $t) as $tasks
  | ($w / size("workers_per_cell")) as $cells
  | {
      cells: $cells, rows: ($w + $t + $e), owned: ($w / $e), tasks_each: ($tasks / $w),
      list: {cpu: (($w + $t + $e) * $s.row_cpu), bytes: (($w + $t) * $s.row_bytes + $e * $s.entry_row), rss: (($w + $t + $e) * $s.row_rss)},
      news: {cpu: ($t * $s.news_cpu), rss: ($t * $s.news_rss), bytes: (($t - $t / $e) * $s.news_bytes + ($t / $e) * ($e - 1) * $s.news_bytes)},
      exchange: {cpu: ($w / $e * ($s.owned_cpu + $tasks / $w * $s.task_cpu)),
                 bytes: ($w / $e * ($s.owned_bytes + $tasks / $w * $s.task_bytes)),
                 rss: ($tasks / $e * $s.task_rss)},
      base: {cpu: $s.base_cpu, bytes: $s.base_bytes, rss: $s.base_rss},
      settings: {bytes: (figure("versions_row_bytes_120_teams") * 4 / 3 + size("changes_a_day") / 86400 * figure("change_row_bytes")),
                 rss: (figure("settings_memory_bytes_120_teams") / 1024)},
      burn: {rss: (figure("burn_memory_bytes_1000_services") / 1024)},
      worker_bytes: ($s.owned_bytes + $tasks / $w * $s.task_bytes)
    };

def table_slopes($s):
  "@slopes",
  (["slope", "value", "from"] | head),
  (["an entry alone, processor time", "\($s.base_cpu | digits(2))% of a core", "9 entries, 6 workers"] | row),
  (["an entry alone, memory (resident)", "\($s.base_rss / 1024 | digits(1)) MiB", "2 entries, 6 workers"] | row),
  (["bytes of an entry, both ways, at 2 / 9 entries and 6 workers", "\($s.smallest_site | kilobytes) / \($s.small_site | kilobytes) KB/s", "what stand-ins spend among themselves taken off, shared by the entries"] | row),
  (["the same without the rows of the list, at 9 entries", "\($s.base_bytes | kilobytes) KB/s", "the same"] | row),
  (["one row of the platform's list, bytes", "\($s.row_bytes | digits(0)) B/s", "1,508 against 6,008 rows, read once a second"] | row),
  (["one row of the list, processor time", "\($s.row_cpu * 1000 | digits(2))% of a core for 1,000 rows", "the same"] | row),
  (["one row of the list, memory", "\($s.row_rss | digits(1)) KiB", "the same"] | row),
  (["one worker of an own cell, processor time", "\($s.owned_cpu | digits(4))% of a core", "6 against 48 workers, rows of the list taken off"] | row),
  (["one exchange with a worker without tasks, each 2 s", "\($s.owned_bytes | digits(0)) B/s", "`bench_worker`, headers of HTTP included"] | row),
  (["one task in it, bytes", "\($s.task_bytes | digits(0)) B/s; \($s.task_wire_live | digits(0)) in a running site", "`bench_worker`; 0 against 672 tasks on 24 workers"] | row),
  (["one task in it, processor time of the owner", "\($s.task_cpu * 1000 | digits(2))% of a core for 1,000 tasks", "0 against 672 tasks on 24 workers, 2 entries"] | row),
  (["one task, memory of the owner", "\($s.task_rss | digits(1)) KiB", "the same"] | row),
  (["one target in the cells' news, bytes from an owner to one peer", "\($s.news_bytes | digits(0)) B/s", "0 against 66 service tasks, list and exchange taken off"] | row),
  (["one target in the cells' news, processor time of each entry", "\($s.news_cpu * 1000 | digits(2))% of a core for 1,000 targets", "the same"] | row),
  (["one target in the cells' news, memory of each entry", "\($s.news_rss | digits(1)) KiB", "the same, list and task taken off"] | row),
  (["one cell, rows written to the table", "\($s.writes | digits(2)) a second", "1 against 8 cells"] | row),
  (["one cell, rows read by all entries of its data centre", "\($s.reads | digits(2)) a second", "1 against 8 cells, 6 entries"] | row),
  (["one request through an entry, processor time", "\($s.request_us | digits(0)) µs", "300 against 600 requests a second over 6 entries"] | row),
  (["one request, bytes of both hops", "\($s.request_bytes | grouped) B", "the same, bodies of 64 B"] | row);

def table_roles($s; $z):
  "@roles",
  (["role", "state", "messages", "processor time", "bytes", "memory", "mechanism that carries it"] | head),
  (["list polling", "\($z.rows | grouped) rows", "1 read a second", "\($z.list.cpu | digits(1))%", "\($z.list.bytes | kilobytes) KB/s", "\($z.list.rss / 1024 | digits(0)) MiB", "none yet: the whole list each time"] | row),
  (["cells' news", "\(size("targets") | grouped) targets", "\(2 * (size("entries") - 1)) a second", "\($z.news.cpu | digits(1))%", "\($z.news.bytes | kilobytes) KB/s", "\($z.news.rss / 1024 | digits(0)) MiB", "cells, one message a peer; all targets in each: none yet"] | row),
  (["cell owner and control exchange", "\($z.owned | digits(0)) workers, \($z.owned * $z.tasks_each | grouped) tasks", "\($z.owned / 2 | digits(0)) exchanges a second", "\($z.exchange.cpu | digits(2))%", "\($z.exchange.bytes | kilobytes) KB/s", "\($z.exchange.rss / 1024 | digits(1)) MiB", "cells; no table write for a start; group commit"] | row),
  (["membership, registration, own share of the table", "\(size("entries")) members", "2 probes a second", "\($z.base.cpu | digits(2))%", "\($z.base.bytes | kilobytes) KB/s", "\($z.base.rss / 1024 | digits(1)) MiB with the process itself", "flat probing: as many probes a second whatever the number of members"] | row),
  (["settings", "\(size("teams")) teams", "1 poll a second, \(size("changes_a_day") / 86400 | digits(2)) changes a second", "\(size("changes_a_day") / 86400 * figure("take_change_us_120_teams") / 1e4 | digits(4))%", "\($z.settings.bytes | kilobytes) KB/s", "\($z.settings.rss / 1024 | digits(2)) MiB", "one version row; pushes carry only what moved"] | row),
  (["burn report", "1,000 services", "only when asked", "\(figure("burn_record_ns_1000_services") / 1e4 | digits(3))% at 1,000 requests a second", "none", "\($z.burn.rss / 1024 | digits(1)) MiB", "counts that add up, no central node"] | row),
  (["request path", "the targets above", "the callers' own", "\($s.request_us | digits(0)) µs a request", "\($s.request_bytes | grouped) B a request", "\((run(6; 24; 600; 66; 0).rss_kib_each - run(6; 24; 0; 66; 0).rss_kib_each) / 1024 | digits(1)) MiB at 100 a second", "shares of targets' slots"] | row),
  (["**all but the request path**", "", "", "**\($z.list.cpu + $z.news.cpu + $z.exchange.cpu + $z.base.cpu | digits(1))%**", "**\($z.list.bytes + $z.news.bytes + $z.exchange.bytes + $z.base.bytes + $z.settings.bytes | kilobytes) KB/s**", "**\(($z.list.rss + $z.news.rss + $z.exchange.rss + $z.base.rss + $z.settings.rss + $z.burn.rss) / 1024 | digits(0)) MiB**", ""] | row);

def table_limits($s; $z):
  ($z.list.cpu + $z.news.cpu + $z.exchange.cpu + $z.base.cpu) as $cpu
  | ($z.list.bytes + $z.news.bytes + $z.exchange.bytes + $z.base.bytes + $z.settings.bytes) as $bytes
  | (($z.list.rss + $z.news.rss + $z.exchange.rss + $z.base.rss + $z.settings.rss + $z.burn.rss) / 1024) as $rss
  | run(9; 24; 0; 66; 0) as $today
  | (($today.wire_bytes_per_second - 24 * $s.registration) / 9) as $today_bytes
  | "@limits",
  (["limit", "measured: 9 entries, 24 workers, 66 targets", "worked out at the size", "times the limit"] | head),
  (["\(limit("cpu_percent"))% of a core for each entry", "\($today.cpu_percent_each | digits(2))%", "\($cpu | digits(1))%", ($cpu | against(limit("cpu_percent")))] | row),
  (["\(limit("memory_mib")) MB for each entry", "\($today.rss_kib_each / 1024 | digits(1)) MiB", "\($rss | digits(0)) MiB", ($rss | against(limit("memory_mib")))] | row),
  (["\(limit("bytes") / 1000) KB/s for each entry", "\($today_bytes | kilobytes) KB/s", "\($bytes | kilobytes) KB/s", ($bytes | against(limit("bytes")))] | row),
  (["\(limit("bytes") / 1000) KB/s for each worker, its exchange alone", "not measured", "\($z.worker_bytes | kilobytes) KB/s", ($z.worker_bytes | against(limit("bytes")))] | row);

def table_platform($s; $z):
  size("entries") as $e
  | ($z.cells * $s.writes) as $w | ($z.cells * $s.reads + $e * 1.2) as $r
  | "@platform",
  (["at the table", "worked out", "stands against"] | head),
  (["cells (racks of \(size("workers_per_cell")))", "\($z.cells | digits(0))", ""] | row),
  (["rows written for ownership alone", "\($w | digits(0)) a second", "several hundred"] | row),
  (["rows read for ownership, settings and standing work", "\($r | grouped) a second", "about 2,000"] | row),
  (($root.runs | map(select(.starts != null and .starts.cells == 8)) | .[0].starts) as $r
   | (($r.rows_written - $r.cells * $r.ms / 1000) / $r.jobs / $r.cells) as $each
   | ["rows written to accept jobs and bring them into their cells, \(size("cells_per_job")) cells each (assumed), mean of a day",
      "\(size("jobs_a_day") / 86400 * $each * size("cells_per_job") | digits(0)) a second", ""] | row),
  (["rows written for settings", "\(size("changes_a_day") / 86400 * 4 | digits(2)) a second", ""] | row),
  (["starts that need no write of their own", "\(size("starts_a_second") | grouped) a second", "several hundred, had each been a write"] | row),
  (["what all entries may spend by their built-in budgets", "\($e * 40 | grouped) writes, \($e * 150 | grouped) reads a second", "several hundred, about 2,000"] | row),
  (["bytes of the list that the platform sends", "\($e * $z.list.bytes / 1e6 | digits(0)) MB/s", ""] | row);

# Wall time, as an operator sees it.
def middle: .[length / 2 | floor];
def table_reactions:
  "@reactions",
  (["entries", "workers", "change of settings in force on all entries", "urgent task shown as running by its owner"] | head),
  ($root.runs[] | select(.reactions != null) | .reactions as $r
   | ["\(.entries)", "\(.workers)", "\($r.settings_in_force_ms | middle) ms, longest \($r.settings_in_force_ms | max) ms",
      "\($r.urgent_running_ms | middle) ms, longest \($r.urgent_running_ms | max) ms"] | row);

def table_starts:
  "@starts",
  (["entries", "cells", "jobs", "tasks started", "rows written meanwhile", "of them renewals of cells (worked out)", "rows a job and cell (worked out)"] | head),
  ($root.runs[] | select(.starts != null) | .entries as $entries | .starts
   | (.cells * .ms / 1000) as $renewals
   | ["\($entries)", "\(.cells)", "\(.jobs)", "\(.tasks)", "\(.rows_written)", "\($renewals | digits(0))",
      "\((.rows_written - $renewals) / .jobs / .cells | digits(1))"] | row);

def table_entries($s; $z):
  size("workers") as $w
  | ($s.owned_cpu + $z.tasks_each * $s.task_cpu) as $cpu
  | (limit("cpu_percent") - $s.base_cpu) as $cpu_left
  | (limit("bytes") - $z.base.bytes) as $bytes_left
  | "@entries",
  (["entries that the control exchanges need, all else but the entry's own base at nothing", "number"] | head),
  (["by processor time", "\($w * $cpu / $cpu_left | ceil)"] | row),
  (["by bytes, as built: whole inventories", "\($w * $z.worker_bytes / $bytes_left | ceil | grouped)"] | row),
  (["by bytes, if inventories were changes only and nothing changed (not built)", "\($w * $s.owned_bytes / $bytes_left | ceil)"] | row);

slopes as $s | at_size($s) as $z
| table_slopes($s), table_roles($s; $z), table_limits($s; $z), table_platform($s; $z), table_entries($s; $z), table_reactions, table_starts
