package world

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// configurationAuditLine matches the audit line that a process writes when a
// published configuration comes into force.
var configurationAuditLine = regexp.MustCompile(`msg=audit .*cause=published .*to=(\d+) what=configuration$`)

// AuditCount returns the number of changes of the given subject in the node's
// audit trail.
func (n *Node) AuditCount(what string) (int, error) {
	data, err := os.ReadFile(n.LogPath())
	if err != nil {
		return 0, errors.WithStack(err)
	}
	count := 0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "msg=audit ") && strings.HasSuffix(line, " what="+what+"\n") {
			count++
		}
	}
	return count, nil
}

// Revisions returns the configuration revisions that came into force on the
// node, in order, as recorded in its audit trail.
func (n *Node) Revisions() ([]uint64, error) {
	file, err := os.Open(n.LogPath())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	var revisions []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		match := configurationAuditLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		revision, err := strconv.ParseUint(match[1], 10, 64)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		revisions = append(revisions, revision)
	}
	return revisions, errors.WithStack(lines.Err())
}

// InForce reports whether the revision is the latest one that came into force
// on the node.
func (n *Node) InForce(revision uint64) bool {
	revisions, err := n.Revisions()
	return err == nil && len(revisions) > 0 && revisions[len(revisions)-1] == revision
}
