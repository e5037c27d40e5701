package kcprogram

import (
	"errors"
	"os/exec"
	"path/filepath"

	"github.com/zeebo/errs"
)

// ErrNoHistory means that the repository does not hold a commit, as a shallow clone or
// an exported tree, or that there is no git.
var ErrNoHistory = errors.New("the history does not hold the commit")

// BuildTestOf builds the test binary of the package at pkg as of a commit into dir and
// returns its path. root is the root of the repository, which is left as it is, and pkg
// is relative to it.
func BuildTestOf(dir, root, commit, pkg string) (string, error) {
	cmd := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}") //nolint:noctx // a test has its own limit
	if err := cmd.Run(); err != nil {
		return "", errs.New("%s: %v: %w", commit, err, ErrNoHistory)
	}
	src, path := filepath.Join(dir, "source-"+commit), filepath.Join(dir, filepath.Base(pkg)+"-"+commit+".test")
	archive := src + ".tar"
	for _, step := range []struct {
		dir  string
		args []string
	}{
		{root, []string{"git", "archive", "--output", archive, "--prefix", filepath.Base(src) + "/", commit}},
		{dir, []string{"tar", "-xf", archive}},
		{src, []string{"go", "test", "-c", "-o", path, pkg}},
	} {
		cmd := exec.Command(step.args[0], step.args[1:]...) //nolint:noctx // a test has its own limit
		cmd.Dir = step.dir
		if out, err := cmd.CombinedOutput(); err != nil {
			return "", errs.New("build the test binary of %s at %s: %s: %v\n%s", pkg, commit, step.args[0], err, out)
		}
	}
	return path, nil
}
