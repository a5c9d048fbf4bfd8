package capacity

import (
	"fmt"
	"strings"
)

// BeginMarker and EndMarker enclose the part of docs/CAPACITY.md that this package generates.
const (
	BeginMarker = "<!-- begin capacity -->"
	EndMarker   = "<!-- end capacity -->"
)

// Page returns the generated part of the page.
func Page(size Size, measured *Measured) (string, error) {
	rows, err := Rows(size, measured)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintln(&b, BeginMarker)
	fmt.Fprintln(&b)
	fmt.Fprintln(&b, "| role | resource | at this size | limit | working | mechanism | verdict |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintln(&b, r.markdown())
	}
	fmt.Fprintln(&b)
	fmt.Fprintln(&b, "| slope | a unit | fixed | growth | unit | per |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|")
	for _, s := range measured.Slopes.Slopes {
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %.2f | %s | %s |\n", s.Name, s.PerUnit, s.Fixed, s.Growth, s.Unit, s.Per)
	}
	fmt.Fprintln(&b)
	fmt.Fprint(&b, EndMarker)
	return b.String(), nil
}

// Replace replaces the generated part of a page, which is between BeginMarker
// and EndMarker.
func Replace(page, part string) (string, error) {
	from := strings.Index(page, BeginMarker)
	to := strings.Index(page, EndMarker)
	if from < 0 || to < from {
		return "", fmt.Errorf("the page lacks the lines %q and %q", BeginMarker, EndMarker)
	}
	return page[:from] + part + page[to+len(EndMarker):], nil
}
