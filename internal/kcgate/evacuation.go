package kcgate

import "github.com/kingcuprail/kingcuprail/internal/kcwarmup"

// ApplyEvacuations applies records of evacuated availability zones and returns the
// changes. Requests that run there complete. If snapshot is true, evacuations that
// are not among the records have ended.
func (l *Upstreams) ApplyEvacuations(records []kcwarmup.Evacuation, snapshot bool) []kcwarmup.Evacuation {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.zones.Apply(records, snapshot)
	if len(changes) == 0 {
		return nil
	}
	l.dropIndex()
	for _, c := range changes {
		for _, u := range l.byID {
			if u.Zone == c.Zone && !c.Active {
				l.warmup.Returned(u.warm, l.clock.Now())
			}
		}
	}
	return changes
}
