/** Locks a data folder against a second process. */
import { createHash } from 'node:crypto'
import { realpath } from 'node:fs/promises'
import { createServer, type Server } from 'node:net'
import { DataFolderError } from '../errors.js'

/** A lock on a data folder that the kernel releases when the process ends, even after a crash. */
export class FolderLock {
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
  }

  /**
   * Locks a folder.
   *
   * @param folder - an existing folder
   * @returns the lock, held until it is released or the process ends
   * @throws DataFolderError when another process holds it
   */
  static async acquire (folder: string): Promise<FolderLock> {
    const realFolder = await realpath(folder)
    // A socket in the kernel's abstract namespace leaves no file that could become stale.
    const name = `\0oleanderward-${createHash('sha256').update(realFolder).digest('hex')}`
    const server = createServer((socket) => { socket.destroy() })
    server.unref()
    await new Promise<void>((resolve, reject) => {
      server.once('error', () => { reject(new DataFolderError(`${folder}: another process uses this data folder.`)) })
      server.listen({ path: name }, resolve)
    })
    return new FolderLock(server)
  }

  /** Releases the lock. */
  async release (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
  }
}
