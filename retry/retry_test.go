package retry_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/id"
	"bluebellhold/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a budget that differs from a model that counts over the list of all attempts.
func TestBudgetMatchesListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(retry.BudgetConfig{})
		now := start
		var firstAttempts, retries []int64
		inWindow := func(list []int64, second int64) (count int) {
			for _, at := range list {
				if at > second-10 {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 300, 2000, 30_000}).Draw(t, "ms")) * time.Millisecond)
			second := now.Unix()
			for range rapid.IntRange(0, 12).Draw(t, "firsts") {
				budget.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, second)
			}
			allowed := inWindow(retries, second) < max(3, inWindow(firstAttempts, second)/10)
			require.Equal(t, allowed, budget.Take(now))
			if allowed {
				retries = append(retries, second)
			}
		}
	})
}

// Guards against a second run of a request that is not idempotent, against a wrong "not run", and against retries of a
// suspect, after the deadline, on top of a peer's retry or without limit.
func TestDecideRepeatsOnlyIdempotentRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(retry.BudgetConfig{MinRetries: rapid.IntRange(1, 4).Draw(t, "floor")})
		now := start
		a := retry.Attempt{
			Number: 1, Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Deadline:  start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second),
			PeerRetry: rapid.IntRange(0, 4).Draw(t, "foreign") == 0, Suspect: rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
		}
		ran := 0
		for attempts := 1; ; attempts++ {
			f := rapid.SampledFrom([]retry.Failure{
				retry.NothingSent{}, retry.Shed{}, retry.Broken{}, retry.TimedOut{},
			}).Draw(t, "failure")
			if f == (retry.Broken{}) || f == (retry.TimedOut{}) {
				ran++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch v := retry.Decide(now, f, a, budget).(type) {
			case retry.Retry:
				require.True(t, a.Idempotent || ran == 0)
				require.False(t, a.PeerRetry || a.Suspect)
				require.True(t, now.Before(a.Deadline))
				require.Equal(t, attempts+1, v.Number)
				a.Number, a.MayHaveRun = v.Number, v.MayHaveRun
			case retry.Stop:
				require.Equal(t, ran > 0, v.MayHaveRun)
				require.NotEmpty(t, v.Reason)
				return
			}
			require.Less(t, attempts, 3)
		}
	})
}

// Guards against a status that differs from a model that counts over the list of all crashes, and against unbounded
// memory.
func TestStatusMatchesListModel(t *testing.T) {
	type crash struct {
		upstream id.Upstream
		at       time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		suspects, bounded := retry.NewSuspects(retry.SuspectsConfig{}), retry.NewSuspects(retry.SuspectsConfig{MaxDigests: 2, MaxReports: 1})
		crashes := map[id.Digest][]crash{}
		distinct := func(d id.Digest, now time.Time) []id.Upstream {
			var names []id.Upstream
			for _, c := range crashes[d] {
				if now.Sub(c.at) < 10*time.Minute && !slices.Contains(names, c.upstream) {
					names = append(names, c.upstream)
				}
			}
			return names
		}
		now := start
		for range 60 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 60, 400}).Draw(t, "seconds")) * time.Second)
			d := id.DigestOf([]byte{byte(rapid.IntRange(0, 2).Draw(t, "digest"))})
			names := distinct(d, now)
			switch rapid.SampledFrom([]string{"died", "died", "finished", "standing"}).Draw(t, "action") {
			case "died":
				u := id.Upstream(strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "upstream")))
				suspects.RecordCrash(now, u, []id.Digest{d})
				bounded.RecordCrash(now, u, []id.Digest{d})
				crashes[d] = append(crashes[d], crash{upstream: u, at: now})
			case "finished":
				suspects.RecordCompletion(now, d)
				if len(names) < 2 {
					delete(crashes, d)
				}
			}
			names = distinct(d, now)
			switch len(names) {
			case 0:
				require.Equal(t, retry.Clear{}, suspects.Status(now, d))
			case 1:
				require.Equal(t, retry.Suspect{Avoid: names}, suspects.Status(now, d))
			default:
				last := crashes[d][len(crashes[d])-1].at
				require.Equal(t, retry.Refused{Until: last.Add(10 * time.Minute)}, suspects.Status(now, d))
			}
			require.LessOrEqual(t, bounded.Len(), 2)
			require.LessOrEqual(t, len(bounded.Reports(now)), 1)
		}
	})
}

// fleet simulates instances that exchange heartbeats, and records the upstreams that a poison request crashes.
type fleet struct {
	now       time.Time
	instances []*retry.Suspects
	crashed   []id.Upstream
	lastCrash time.Time
}

// exchangeReports sends the reports of each instance to all instances, itself included; they arrive after the delay.
func (f *fleet) exchangeReports(delay time.Duration) {
	var reports []retry.Report
	for _, s := range f.instances {
		reports = append(reports, s.Reports(f.now)...)
	}
	f.now = f.now.Add(delay)
	for _, s := range f.instances {
		for _, r := range reports {
			s.MergeReport(f.now, r)
		}
	}
}

// dispatch sends a request from one instance, together with concurrent ones at the same upstream unless it or they are
// suspects, and returns the digests that completed.
func (f *fleet) dispatch(t *rapid.T, poison, digest id.Digest, concurrent []id.Digest) []id.Digest {
	s := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")]
	inFlight := []id.Digest{digest}
	var avoid []id.Upstream
	switch status := s.Status(f.now, digest).(type) {
	case retry.Refused:
		return nil
	case retry.Suspect:
		avoid = status.Avoid
	case retry.Clear:
		for _, d := range concurrent {
			if s.Status(f.now, d) == (retry.Clear{}) {
				inFlight = append(inFlight, d)
			}
		}
	}
	choices := slices.DeleteFunc([]id.Upstream{"0", "1", "2", "3", "4", "5"}, func(u id.Upstream) bool {
		return slices.Contains(avoid, u)
	})
	upstream := rapid.SampledFrom(choices).Draw(t, "upstream")
	if slices.Contains(inFlight, poison) {
		s.RecordCrash(f.now, upstream, inFlight)
		f.crashed, f.lastCrash = append(f.crashed, upstream), f.now
		return nil
	}
	for _, d := range inFlight {
		s.RecordCompletion(f.now, d)
	}
	return inFlight
}

// Guards against a poison request whose retries crash more than two upstreams, against a concurrent innocent request
// that is never served, and against peers that extend a refusal by reporting it to each other.
func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start}
		for range 3 {
			f.instances = append(f.instances, retry.NewSuspects(retry.SuspectsConfig{}))
		}
		poison := id.DigestOf([]byte("poison"))
		for i := range 40 {
			delay := time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond
			concurrent := []id.Digest{id.DigestOf([]byte{byte(i), 1}), id.DigestOf([]byte{byte(i), 2})}
			completed := f.dispatch(t, poison, poison, concurrent)
			f.exchangeReports(delay)
			for _, d := range concurrent {
				if !slices.Contains(completed, d) {
					others := []id.Digest{id.DigestOf([]byte{byte(i), 3})}
					require.Contains(t, f.dispatch(t, poison, d, others), d, "an innocent request is not served")
				}
			}
			f.exchangeReports(delay)
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond)
		}
		require.LessOrEqual(t, len(f.crashed), 2)
		for f.now.Sub(f.lastCrash) < 10*time.Minute+2*time.Second {
			f.exchangeReports(900 * time.Millisecond)
			f.now = f.now.Add(1100 * time.Millisecond)
		}
		for _, s := range f.instances {
			require.Equal(t, retry.Clear{}, s.Status(f.now, poison), "peers extend a refusal")
			for _, r := range s.Reports(f.now) {
				require.NotEqual(t, poison, r.Digest)
			}
		}
	})
}
