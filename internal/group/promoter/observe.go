package promoter

import (
	"context"
	"errors"
	"time"

	"parsleyscale/internal/group/sampler"
)

// observeRoundTimeout limits the sampling round of Observe. The rest of ObserveTimeout is left for sending the answer.
const observeRoundTimeout = 150 * time.Millisecond

var errSuspected = errors.New("another gateway suspects the primary")

// Observe returns this gateway's view of a group to another gateway that suspects the primary. If this
// gateway knows a primary, it first probes it on a new connection, because a view from before the primary's
// failure would contradict the other gateway.
func Observe(ctx context.Context, s *sampler.Sampler) []InstanceObservation {
	v := s.View()
	if v.Primary != "" {
		s.ReportConnectionFailure(v.Primary, errSuspected)
		ctx, cancel := context.WithTimeout(ctx, observeRoundTimeout)
		defer cancel()
		v, _ = s.NextRound(ctx)
	}
	return Observations(v)
}

// Observations converts a view to one observation per instance.
func Observations(v sampler.View) []InstanceObservation {
	now := time.Now()
	observations := make([]InstanceObservation, 0, len(v.Instances))
	for k := range v.Instances {
		i := &v.Instances[k]
		observations = append(observations, InstanceObservation{
			Instance:  i.Instance.Name,
			Reachable: i.Reachable,
			Role:      i.Status.Role,
			FenceTerm: i.Status.FenceTerm,
			Last:      i.Status.Last,
			AnswerAge: now.Sub(i.AnsweredAt),
		})
	}
	return observations
}
