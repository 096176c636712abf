// Package logger writes structured log lines to a file without ever blocking the
// work that logs.
//
// Lines go into a bounded buffer that one goroutine empties. A budget of lines a
// second bounds the volume: routine lines give way first, warnings and errors have
// a budget of their own. What was dropped is counted and logged once there is room
// again.
package logger
