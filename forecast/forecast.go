package forecast

// maxClasses bounds the classes that are told apart. The calls of others count together.
const maxClasses = 256

// Class tells calls with different work apart.
type Class struct {
	// Route is the name of the call's route.
	Route string
	// IsLater is set for all but the first turn of a conversation.
	IsLater bool
}

// Forecaster predicts a quantity of calls by their class.
type Forecaster struct {
	// prior is predicted while nothing is known.
	prior   float64
	classes map[Class]*Estimate
	// overall holds the observations of all classes.
	overall Estimate
}

// New returns a forecaster that predicts prior until it has observations.
func New(prior float64) *Forecaster {
	return &Forecaster{prior: prior, classes: make(map[Class]*Estimate)}
}

// Record adds an observation.
func (f *Forecaster) Record(c Class, x float64) {
	f.overall.Record(x)
	e := f.classes[c]
	if e == nil {
		if len(f.classes) >= maxClasses {
			return
		}
		e = &Estimate{}
		f.classes[c] = e
	}
	e.Record(x)
}

// Predict returns the estimate for a class: its own or, if it has no observations, that of all
// classes.
func (f *Forecaster) Predict(c Class) Estimate {
	if e := f.classes[c]; e != nil {
		return *e
	}
	if f.overall.IsKnown() {
		return f.overall
	}
	return Estimate{Mean: f.prior, Upper: f.prior}
}

// Observed returns the estimate of a class that has observations of its own.
func (f *Forecaster) Observed(c Class) (e Estimate, ok bool) {
	if own := f.classes[c]; own != nil {
		return *own, true
	}
	return Estimate{}, false
}

// Mean returns the mean over all classes.
func (f *Forecaster) Mean() float64 {
	if f.overall.IsKnown() {
		return f.overall.Mean
	}
	return f.prior
}
