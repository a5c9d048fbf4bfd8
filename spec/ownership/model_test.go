package ownership

import (
	"fmt"
	"os"
	"testing"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

func TestExplore(t *testing.T) {
	for _, b := range []Bounds{
		{Nodes: 3, Members: 2, Targets: 1, Calls: 1, Budget: 1, Versions: 3, Crashes: 1, TargetCrashes: 1, Claims: 1},
		{Nodes: 3, Members: 2, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1},
		{Nodes: 3, Members: 2, Targets: 1, Calls: 2, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1},
		{Nodes: 3, Members: 3, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1},
		{Nodes: 3, Members: 3, Targets: 1, Calls: 1, Budget: 1, Versions: 1, Crashes: 2, TargetCrashes: 1, Claims: 2},
		{Nodes: 4, Members: 3, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 2, TargetCrashes: 0, Claims: 1},
	} {
		if os.Getenv("SPEC") != "" && fmt.Sprint(b) != os.Getenv("SPEC") {
			continue
		}
		m := NewModel(AllRules(), b)
		r := search.Explore(m, 3_000_000)
		t.Logf("%+v states %d transitions %d depth %d complete %v overflows %d messages %d", b, r.States, r.Transitions, r.Depth, r.Complete, m.Overflows, len(m.messages))
		if r.Violation != nil {
			t.Error(r.Violation)
		}
	}
}
