package builder

import (
	"fmt"
	"time"

	"parsleyscale/internal/group/connector"
	instance "parsleyscale/internal/group/emulator"
	"parsleyscale/internal/sheet/parser"
)

// Instance returns an instance by name.
func (s *System) Instance(name string) (*Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.instances[name]
	if !ok {
		return nil, fmt.Errorf("no instance %q", name)
	}
	return i, nil
}

// Primary returns the instance that is primary of the highest term of a database.
func (s *System) Primary(database string) (*Instance, error) {
	db, _, _ := s.Sheet().Database(database)
	best, _ := s.primaryOf(db)
	if best == nil {
		return nil, fmt.Errorf("database %q has no primary", database)
	}
	return best, nil
}

func (s *System) primaryOf(db parser.Database) (best *Instance, term uint64) {
	for _, m := range db.Instances {
		i, err := s.Instance(m.Name)
		if err != nil {
			continue
		}
		if st, ok := s.status(i); ok && st.Role == connector.RolePrimary && st.Last.Term >= term {
			best, term = i, st.Last.Term // a fenced primary has the new fence term already
		}
	}
	return best, term
}

func (s *System) status(i *Instance) (connector.Status, bool) {
	s.mu.Lock()
	server := i.server
	s.mu.Unlock()
	if server == nil {
		return connector.Status{}, false
	}
	return server.Status(), true
}

// KillInstance ends an instance at once.
func (s *System) KillInstance(i *Instance) error {
	s.mu.Lock()
	server := i.server
	i.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

// RestartInstance starts an instance again on its files.
func (s *System) RestartInstance(i *Instance) error {
	server, err := instance.Start(i.Config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i.server = server
	return nil
}

// PauseInstance holds back all traffic of an instance.
func (s *System) PauseInstance(i *Instance) { s.Net.CutHost(i.Host) }

// ResumeInstance ends a PauseInstance.
func (s *System) ResumeInstance(i *Instance) { s.Net.HealHost(i.Host) }

// SetDelays changes the receive delay and the apply delay of an instance.
func (s *System) SetDelays(i *Instance, receive, apply time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Config.ReceiveDelay, i.Config.ApplyDelay = receive, apply
	if i.server != nil {
		i.server.SetReceiveDelay(receive)
		i.server.SetApplyDelay(apply)
	}
}

// SetState changes what the sheet says of an instance and applies the sheet.
func (s *System) SetState(name string, state parser.State) error {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	sheet := s.Sheet().WithInstanceState(name, state)
	return s.Apply("parsleybench", fmt.Sprintf("%s-%s-%d", name, state, version), sheet)
}

// Terms returns the primary of the highest term of each database and that term.
func (s *System) Terms() map[string]Term {
	m := map[string]Term{}
	for _, v := range s.Sheet().Services {
		for _, db := range v.Databases {
			if i, t := s.primaryOf(db); i != nil {
				m[db.Name] = Term{Primary: i.Name, Number: t}
			}
		}
	}
	return m
}

// Term is a term of a database and its primary.
type Term struct {
	Primary string
	Number  uint64
}

// IsUp reports whether an instance is started.
func (s *System) IsUp(i *Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.server != nil
}
