-- pebblefold's default policy.
--
-- The script runs once, at start, and returns a table. Every field may be left
-- out; its default is the value shown here. `site` holds facts from the
-- platform's settings: report_s, lease_s, gang_wait_s, cancel_s, list_lag_s,
-- cloud_rps, nodes, wait_s (the shortest time to start that an objective asks
-- for, or nil) and deadlines (whether an objective is about deadlines).

-- Idle machines cost money, fresh ones cost time. Work with deadlines says how
-- long it can wait, so where there is such work idle machines go soon; where
-- every class wants to start or finish within a fixed time, they are kept.
local patient = site.deadlines

return {
  -- Time between placement cycles, in seconds.
  cycle_s = 0.5,
  -- Life of the leader's lease in the state service.
  leader_lease_s = 3.0,
  -- Before that time the other nodes replace a leader that is silent or has lost
  -- the state service, if most of them find its silence so unlikely, in powers
  -- of ten, by what was usual. 0: only the lease decides.
  doubt = 8.0,
  -- Fetch estimate for an image while nothing is known yet.
  first_fetch_s = 30.0,

  -- Renting: work that has waited this long asks for machines.
  rent_after_s = 1.0,
  -- Most machines that may be on their way at once.
  most_booting = 400,
  -- Pause for a zone and kind of machine that had no capacity.
  no_capacity_pause_s = 20.0,
  -- A machine that is not up after this many usual boot times is given up.
  boot_patience = 5.0,

  -- Returning: a machine idle for this long is returned ...
  idle_s = patient and 12.0 or 120.0,
  -- ... unless it belongs to the reserve kept for classes whose starts are
  -- wanted sooner than a machine boots: this many times what arrives on
  -- average within a boot time.
  reserve = patient and 0.5 or 1.5,
  -- Never more than this many in reserve.
  most_reserve = 12,

  -- A task is not stopped for another within this time of its start.
  settle_s = 31.0,
  -- Work that has waited this long goes ahead of everything but urgent work,
  -- and machines are held for a gang that waits for several at once.
  patience_s = 60.0,
  -- Beside machines held for a gang other work may run that would be over before
  -- the gang's start even if it took this many times its estimate ...
  backfill_margin = 1.5,
  -- ... and none for this long after the start that was predicted first.
  promise_slack_s = 60.0,
  -- A job that finds no room but what is held for gangs gets one of its tasks
  -- begun there after this time.
  held_back_s = 60.0,
  -- Among jobs of the same rank, one that would keep all machines busy for a
  -- second goes this many seconds later: when not all can be on time, small
  -- ones first let more of them be.
  small_first = 60.0,
  -- However much more urgent work there is, every class and team gets this share of
  -- the work that came for it served, from at most half of the machines; 0: none does.
  floor_share = 0.6,
  -- The time over which that is judged.
  floor_window_s = 600.0,
  -- A machine silent for this long is released for good.
  silent_release_s = 120.0,

  -- The highest level that may come into force when all controllers have it: a
  -- lower number holds the rise back, and with it whatever no roll-back undoes.
  highest_level = 1000,
}
