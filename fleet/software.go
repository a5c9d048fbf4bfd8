package fleet

import (
	"slices"
	"time"
)

// HasSoftware reports whether a service has a target with a catalog.Target.Software that is
// not draining.
func (f *Fleet) HasSoftware(service string, software uint64) bool {
	s := f.services[service]
	return s != nil && slices.ContainsFunc(s.targets, func(t *target) bool { return !t.Draining && t.software == software })
}

// HasSeveralVersions reports whether the targets of a service differ in their software.
func (f *Fleet) HasSeveralVersions(service string) bool {
	s := f.services[service]
	return s != nil && slices.ContainsFunc(s.targets, func(t *target) bool { return t.software != s.targets[0].software })
}

// HasTargets reports whether any target of a service is known.
func (f *Fleet) HasTargets(service string) bool {
	s := f.services[service]
	return s != nil && len(s.targets) > 0
}

// LikelySoftware returns the catalog.Target.Software of the target that a call would get now,
// or 0 if there is none.
func (f *Fleet) LikelySoftware(q Query, now time.Time) uint64 {
	s := f.services[q.Service]
	if s == nil || len(s.targets) == 0 {
		return 0
	}
	if !f.HasSeveralVersions(q.Service) {
		return s.targets[0].software
	}
	choice, ok := f.Pick(q, now)
	if !ok {
		return 0
	}
	return choice.Target.Software()
}
