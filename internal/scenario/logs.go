package scenario

import (
	"os"
	"strings"
)

// logTail is the number of log lines of each node that a failure shows.
const logTail = 25

// logs returns the ends of the nodes' logs.
func (s *stage) logs() string {
	if s.world == nil {
		return ""
	}
	var out strings.Builder
	for _, node := range s.world.Nodes() {
		data, err := os.ReadFile(node.LogPath())
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
		lines = lines[max(0, len(lines)-logTail):]
		out.WriteString("log of " + node.VM().ID + ":\n" + strings.Join(lines, "\n") + "\n")
	}
	return out.String()
}
