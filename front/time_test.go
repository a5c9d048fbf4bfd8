package front

import "time"

// testTime is the arrival of the tests' requests.
var testTime = time.Unix(1, 0)
