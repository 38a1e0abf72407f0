package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/features"
	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/settings"
	"bluebellhold/logwriter"
	"bluebellhold/platform"
)

const (
	// The tables of the platform's store that belong to the instances: their heartbeats, what their groups hold of the
	// limits, the secret of their sessions, and the last good document of the operator.
	membersTable   = "members"
	groupsTable    = "groups"
	secretsTable   = "secrets"
	documentsTable = "documents"
	// memoryLimitPercent is the share of the process's memory that the Go runtime's memory limit is set to; the rest is
	// for socket buffers.
	memoryLimitPercent = 70
	// lastLinesPercent is the share of the grace period that the end of a stop waits for the output to take the last lines.
	// The requests in flight have most of the period.
	lastLinesPercent = 2
	// maxDescriptors is used in place of a larger limit or of none.
	maxDescriptors = 1 << 20
	// gcPercent is the heap growth in percent that starts a garbage collection.
	gcPercent = 200
)

// runEntry checks the settings and, unless they are only to be checked, serves until a stop signal.
func runEntry(ctx context.Context, start startConfig) error {
	path, to := start.settings, start.to
	// The settings may change at any time, and SIGHUP ends a process that does not handle it yet.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if start.checkOnly {
		if err := settings.CheckEntry(path); err != nil {
			return err
		}
	}
	s, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	if start.checkOnly {
		_, err := fmt.Fprintln(to.messages, "settings are valid")
		return err
	}
	logs := logwriter.New(logwriter.Config{
		Output: to.log, Options: log.Options{Level: level, Formatter: log.LogfmtFormatter},
	})
	defer func() { logs.Close(time.Now().Add(time.Duration(s.Bounds.GracePeriod) * lastLinesPercent / 100)) }()
	logPassedOver(logs.Logger(), s.PassedOver)
	discardStandardLog()
	config := entryConfig(s, logs)
	config.Descriptors = descriptorLimit(s.Descriptors, start.descriptors)
	debug.SetMemoryLimit(int64(config.MemoryLimit) * memoryLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
	logAlwaysOn(s.Features, logs.Logger())
	// Callers can connect once the instance has been created. Further signals change nothing.
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	instance, err := ingress.New(config)
	if err != nil {
		return &RunError{Cause: err}
	}
	go reloadOnSignal(ctx, reloads, path, logs.Logger())
	if err := instance.Run(ctx); err != nil {
		return &RunError{Cause: err}
	}
	return nil
}

// logAlwaysOn logs the features that settings for an earlier version switch on and that are always on now.
func logAlwaysOn(names []string, logger *log.Logger) {
	for _, name := range names {
		if features.IsAlwaysOn(name) {
			logger.Info("settings: a feature is always on and need not be named", "feature", name)
		}
	}
}

func entryConfig(s settings.Entry, logs *logwriter.Writer) ingress.Config {
	set, _ := features.Parse(s.Features)
	return ingress.Config{
		Features: set.Union(platform.FeaturesOf(s.Terms)),
		Instance: s.Name, Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress,
		LookupAddress: s.LookupAddress, MetricsAddress: s.MetricsAddress,
		PeerAddress: s.PeerAddress, LinkCapacity: int(s.LinkMbps),
		Bounds: entryBounds(s.Bounds), MemoryLimit: id.Bytes(s.MemoryMiB) << 20,
		Feed: platform.NewStoreClient(s.StoreAddress),
		Tables: ingress.Tables{
			Operator: platform.OperatorTable, Upstreams: platform.ServersTable, Members: membersTable,
			Groups: groupsTable, Secrets: secretsTable, Documents: documentsTable,
		},
		HeaderCodec:             platform.HeaderCodec{},
		RowDecoder:              platform.RowDecoder{RegionByDataCentre: s.RegionByDataCentre},
		RegisterControlHandlers: platform.RegisterControlHandlers,
		Log:                     logs,
	}
}

// descriptorLimit returns the number of descriptors that the process may open: the first of the numbers that is above zero, but at
// most the limit of the process.
func descriptorLimit(numbers ...int64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		limit.Cur = maxDescriptors
	}
	for _, n := range numbers {
		if n > 0 {
			return int(min(uint64(n), limit.Cur))
		}
	}
	return int(limit.Cur)
}

func entryBounds(b settings.Bounds) entry.Bounds {
	return entry.Bounds{
		RetryRatio: b.RetryBudget.Ratio, RetryExtra: b.RetryBudget.Extra, RetryWindow: time.Duration(b.RetryBudget.Window),
		RateWindow: time.Duration(b.RateTolerance.Window), RateExcess: b.RateTolerance.Excess,
		RateSlack:  b.RateTolerance.Slack,
		ColdFactor: b.ColdTolerance.Factor, ColdSlack: b.ColdTolerance.Slack,
		MaxDrainDelay: time.Duration(b.MaxDrainDelay), GracePeriod: time.Duration(b.GracePeriod),
		LookupTTL: time.Duration(b.LookupTTL),
	}
}

// reloadOnSignal reloads the settings on each signal. Addresses and bounds are fixed for the lifetime of the process, so
// only the log level takes effect.
func reloadOnSignal(ctx context.Context, reloads <-chan os.Signal, path string, logger *log.Logger) {
	for {
		select {
		case <-reloads:
		case <-ctx.Done():
			return
		}
		s, err := settings.LoadEntry(path)
		if err != nil {
			logger.Error("settings: not reloaded; the previous settings stay in force", "error", err)
			continue
		}
		logPassedOver(logger, s.PassedOver)
		if level, err := log.ParseLevel(s.LogLevel); err == nil {
			logger.SetLevel(level)
		}
		logger.Info("settings: reloaded")
	}
}
