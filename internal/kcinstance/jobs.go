package kcinstance

import (
	"crypto/rand"

	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxRunningJobs bounds the jobs that an instance runs concurrently.
	maxRunningJobs = 32
	// maxUnendedJobsPerShard bounds the jobs of one shard that have not ended,
	// and so the memory of the shard's owner: 1000 jobs of up to 64 KiB.
	maxUnendedJobsPerShard = 1000
	// jobResultRetentionMs is how long results are kept.
	jobResultRetentionMs = kcclock.Hour
	// jobAttemptTimeoutMs bounds one attempt to run a job.
	jobAttemptTimeoutMs = 10 * kcclock.Minute
	// jobPollMs is the interval between two polls of the owned shards. Jobs can
	// wait, and each poll reads the log: at 200 ms, polls took 1.5 KB/s of the
	// 16 KB/s that an idle instance used.
	jobPollMs = kcclock.Second
)

func (i *Instance) newJobs() *kcjob.Queue {
	id := i.opts.Settings.Instance.ID
	return kcjob.NewQueue(kcjob.Options{
		Instance: id, Process: id + "-" + rand.Text(), Log: i.opts.RecordLog, Clock: i.opts.Clock,
		Shards: i.opts.Settings.Timing.Shards, Ledger: i.ledger,
		LiveInstanceIDs: i.node.LiveInstances, ListedInstanceIDs: i.listedInstances,
		MaxRunning: maxRunningJobs, MaxQueued: maxUnendedJobsPerShard, ResultRetentionMs: jobResultRetentionMs,
		AttemptTimeoutMs: jobAttemptTimeoutMs,
		RunnerGoneMs:     i.opts.Settings.Timing.FailoverDelayMs, ReconcileIntervalMs: jobPollMs,
	})
}
