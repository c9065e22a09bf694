/** Members of the control group as far as a caller knows them. */

/** Header of a call with the version that the caller knows, and of an answer with a newer version and its members. */
export const MEMBERS_HEADER = 'x-oleanderward-members'

/** Addresses of the members as one control process knows them. */
export interface KnownMembers {
  /** Index of the membership in the replicated log; 0 while it is not committed, and so may still be dropped. */
  readonly version: number
  readonly addresses: readonly string[]
}

/**
 * Members as a field of an answer, with the version beside it: processes of earlier builds, which know the addresses alone, read
 * answers of this one during a rolling start, and leave the version out of theirs.
 */
export interface ToldMembers {
  readonly members: readonly string[]
  readonly membersVersion?: number
}

/**
 * Returns the members that an answer tells.
 *
 * @param answer - the answer
 * @returns the members; version 0 if the answer has none
 */
export function readToldMembers ({ members, membersVersion }: ToldMembers): KnownMembers {
  return { version: membersVersion ?? 0, addresses: members }
}

/**
 * Returns members as fields of an answer.
 *
 * @param members - the members
 */
export function tellMembers ({ version, addresses }: KnownMembers): ToldMembers {
  return { members: addresses, membersVersion: version }
}

/** Members that a control process tells, with what makes them newer than others. */
export interface MembersInfo extends KnownMembers {
  /** Whether the process leads. What a leader knows replaces everything else. */
  readonly isLeader: boolean
}

/**
 * Remembers the newest members. A process that was removed from the group, or is cut off from it, goes on telling the
 * members of its time, which must not replace newer ones.
 */
export class GroupMembers {
  #version = 0
  #addresses: readonly string[] = []

  /** Index of the known membership in the replicated log; 0 before one is known. */
  get version (): number {
    return this.#version
  }

  /** Addresses of the members, host and port; empty before any are known. */
  get addresses (): readonly string[] {
    return this.#addresses
  }

  /**
   * Takes note of members that a control process has told.
   *
   * @param info - the members
   */
  learn ({ version, addresses, isLeader }: MembersInfo): void {
    if (addresses.length === 0) return
    if (!isLeader && (version < this.#version || (version === 0 && this.#addresses.length > 0))) return
    this.#version = version
    this.#addresses = addresses
  }

  /**
   * Takes note of the members in a header of an answer.
   *
   * @param header - value of {@link MEMBERS_HEADER}, if the answer has one
   */
  learnFrom (header: string | string[] | undefined): void {
    const info = typeof header === 'string' ? parseMembersHeader(header) : null
    if (info !== null) this.learn(info)
  }
}

/**
 * Formats members as the value of {@link MEMBERS_HEADER}.
 *
 * @param info - the members
 * @returns the version, the role and the addresses, separated by spaces
 */
export function formatMembersHeader ({ version, addresses, isLeader }: MembersInfo): string {
  return [version, isLeader ? 'leader' : 'other', ...addresses].join(' ')
}

/** Parses a header; returns null when it is malformed. */
function parseMembersHeader (header: string): MembersInfo | null {
  const [version = '', role, ...addresses] = header.split(' ')
  if (!/^\d+$/.test(version) || (role !== 'leader' && role !== 'other')) return null
  return { version: Number(version), addresses, isLeader: role === 'leader' }
}
