// Package kcconfig replicates the configuration: it folds the changes of a log
// stream into the rules in force, relays records between instances, and
// publishes changes.
package kcconfig

import "github.com/kingcuprail/kingcuprail/internal/kcrules"

// Static provides rules that never change.
type Static struct{ Fixed *kcrules.Rules }

// Rules returns the fixed rules.
func (s Static) Rules() *kcrules.Rules { return s.Fixed }
