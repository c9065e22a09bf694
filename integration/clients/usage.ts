/** Reads what a process uses from the kernel. */
import { readdirSync, readFileSync } from 'node:fs'

const KB_PER_MB = 1024

/**
 * Returns the most memory that a process has had resident since its start, in MB.
 *
 * @param pid - id of a running process
 */
export function readPeakMemoryMb (pid: number): number {
  return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / KB_PER_MB
}

/**
 * Returns the number of open descriptors of a process.
 *
 * @param pid - id of a running process
 */
export function countDescriptors (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}
