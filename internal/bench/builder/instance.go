package builder

import (
	"fmt"

	"parsleyscale/internal/group/connector"
	instance "parsleyscale/internal/group/emulator"
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
	var best *Instance
	var term uint64
	for _, m := range db.Instances {
		i, err := s.Instance(m.Name)
		if err != nil {
			return nil, err
		}
		if st, ok := s.status(i); ok && st.Role == connector.RolePrimary && st.FenceTerm >= term {
			best, term = i, st.FenceTerm
		}
	}
	if best == nil {
		return nil, fmt.Errorf("database %q has no primary", database)
	}
	return best, nil
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
