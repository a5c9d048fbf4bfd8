// Package placement measures, in virtual time, how well entries place turns on engines
// when each of them sees a small share of the calls. It runs the real fleet.Fleet of each
// entry against modelled engines, with several ways to learn the load that other entries
// cause.
package placement
