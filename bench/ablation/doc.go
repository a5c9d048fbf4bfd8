// Package ablation measures what each mechanism of the daemons is worth. It plays the same
// days with all mechanisms and without one of them, on the deployments of an external
// bench, and compares the results.
package ablation
