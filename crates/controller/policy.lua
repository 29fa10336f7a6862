-- pebblefold's default policy.
--
-- The script runs once, when a controller starts, and returns a table. Each field may
-- be left out; its default is the value shown here. The global table `site` holds
-- facts from the platform's settings: report_s (time between heartbeats of an agent),
-- lease_s (time to live of an agent's lease), gang_wait_s, cancel_s, list_lag_s,
-- cloud_rps, nodes (the number of controllers), wait_s (the shortest time to start
-- among the objectives, or nil) and deadlines (whether an objective concerns
-- deadlines). Here and below, names that end in _s are times in seconds.

-- Idle machines cost money; new machines take time to boot. Work with a deadline states
-- how long it can wait, so where an objective concerns deadlines idle machines are
-- terminated soon. Where every class has to start or finish within a fixed time, idle
-- machines are kept longer.
local patient = site.deadlines

return {
  -- Time between scheduling cycles.
  cycle_s = 0.5,
  -- Time to live of the leader's lease in the key-value store.
  leader_lease_s = 3.0,
  -- Phi threshold of the failure detector: a leader that sends no heartbeats, or has lost
  -- the key-value store, is replaced before its lease expires if most controllers suspect
  -- it. A silence is suspicious if its probability, given the usual heartbeat intervals,
  -- is at most 10 to the power of minus this. 0: only the expiry of the lease counts.
  doubt = 8.0,
  -- Estimated fetch time of an image before any fetch has been measured.
  first_fetch_s = 30.0,

  -- Provisioning: waiting time of tasks before machines are provisioned for them.
  rent_after_s = 1.0,
  -- Maximum number of provisioned machines that have not booted yet.
  most_booting = 400,
  -- Pause in provisioning a machine type in a zone after the cloud reported no capacity
  -- for it.
  no_capacity_pause_s = 20.0,
  -- A machine that has not booted after this multiple of its type's boot time is
  -- terminated.
  boot_patience = 5.0,

  -- Termination: idle time after which a machine is terminated, unless the reserve needs
  -- it.
  idle_s = patient and 12.0 or 120.0,
  -- Reserve of idle machines, for classes whose tasks should start sooner than a machine
  -- boots, as a multiple of the machines for the work that arrives on average within a
  -- boot time. The reserve is at least the machines of the largest recent job.
  reserve = patient and 0.5 or 1.5,
  -- Maximum number of machines in the reserve.
  most_reserve = 12,

  -- Time after its start in which a task is not preempted.
  settle_s = 31.0,
  -- Waiting time after which a gang is placed ahead of all work but high-priority work,
  -- and machines are reserved for it. A job that is not a gang is placed ahead after ten
  -- times this. After this time the rules that only delay a job until a better machine
  -- is free no longer apply to it.
  patience_s = 60.0,
  -- Factor on the estimated run time of a task that is backfilled onto reserved machines:
  -- only a task that would end before the gang's start, by this longer estimate, may
  -- start ahead of the gang.
  backfill_margin = 1.5,
  -- Time after a gang's first predicted start in which no task is backfilled ahead of the
  -- gang. After that a new start is predicted.
  promise_slack_s = 60.0,
  -- Time after which a job that finds no room but reserved room may start one task, or a
  -- whole gang, there.
  held_back_s = 60.0,
  -- Seconds by which a job is placed later, among jobs of the same rank, for each second
  -- in which it would occupy the whole fleet. If not all jobs can be on time, placing
  -- small jobs first lets more of them be on time.
  small_first = 60.0,
  -- Minimum share of its arriving work that each class and team is served, however urgent
  -- the other work is, on at most half of the machines. 0: no minimum.
  floor_share = 0.6,
  -- Time window over which the minimum share is measured.
  floor_window_s = 600.0,
  -- Time without heartbeats after which a machine is terminated.
  silent_release_s = 120.0,

  -- The highest format version that may be activated once all controllers support it. A
  -- lower number postpones the activation, and with it every change that a roll-back
  -- cannot undo.
  highest_level = 1000,
}
