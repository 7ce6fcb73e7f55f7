package scenario

import (
	"os"
	"strings"
)

// logTailLines is the number of log lines per node printed when a script
// fails.
const logTailLines = 25

// nodeLogs returns the last lines of each node's log.
func (s *scriptState) nodeLogs() string {
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
		lines = lines[max(0, len(lines)-logTailLines):]
		out.WriteString("log of " + node.VM().ID + ":\n" + strings.Join(lines, "\n") + "\n")
	}
	return out.String()
}
