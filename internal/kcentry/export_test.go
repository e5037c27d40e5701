package kcentry

import (
	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
)

// SeedCascadeEvidence adds evidence for a cascade: all of its rated responses were
// good, and four of five responses of the first version passed the check.
func (d *RoutingState) SeedCascadeEvidence(class kcrules.Class, first, second string) {
	now := d.opts.Clock.Now()
	for i := range 1000 {
		d.cascadeLearner.RecordRating(class, kccascade.Chain{First: first, Second: second}, true, now)
		d.cascadeLearner.RecordCheck(class, first, i%5 > 0, now)
	}
}
