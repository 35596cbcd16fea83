package promoter

import (
	"context"
	"errors"
	"time"

	"parsleyscale/internal/group/sampler"
)

// observeRound bounds the round of an Observe; the rest of ObserveTimeout is left for the way back.
const observeRound = 150 * time.Millisecond

var errSuspected = errors.New("another gateway suspects the primary")

// Observe returns this gateway's view of a group for another gateway, which
// suspects the primary. A known primary is asked again first, on a new
// connection, because a view from before its failure would contradict the other
// gateway.
func Observe(ctx context.Context, s *sampler.Sampler) []InstanceObservation {
	v := s.View()
	if v.Primary != "" {
		s.Report(v.Primary, errSuspected)
		ctx, cancel := context.WithTimeout(ctx, observeRound)
		defer cancel()
		v, _ = s.Next(ctx)
	}
	return Observations(v)
}

// Observations returns what a view tells of each instance.
func Observations(v sampler.View) []InstanceObservation {
	now := time.Now()
	all := make([]InstanceObservation, 0, len(v.Instances))
	for k := range v.Instances {
		i := &v.Instances[k]
		all = append(all, InstanceObservation{
			Instance:  i.Instance.Name,
			Reachable: i.Reachable,
			Role:      i.Status.Role,
			FenceTerm: i.Status.FenceTerm,
			Last:      i.Status.Last,
			Age:       now.Sub(i.AnsweredAt),
		})
	}
	return all
}
