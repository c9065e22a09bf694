/** Commands for the control group: init, members, status. */
import type { Command } from 'commander'
import { print, toTable } from '../print/index.js'
import { CommandError, EXIT_CODES, type CtlSession } from '../session/index.js'

/**
 * Adds the commands for the control group.
 *
 * @param program - program to extend
 * @param session - returns the session, which it opens at the first call
 */
export function addGroupCommands (program: Command, session: () => CtlSession): void {
  program.command('init')
    .description('create a new group from the control processes in --control, whose data folders must be empty')
    .action(async () => { await init(session()) })

  program.command('status')
    .description('show leader, members, entries, fleet and budgets')
    .action(async () => { await status(session()) })

  const members = program.command('members').description('list or change the members of the control group')
  members.command('list')
    .description('list the members')
    .action(async () => {
      const ctl = session()
      const leader = await findLeaderStatus(ctl)
      print(leader.members, ctl.isJson, toTable(leader.members.map(({ id, role, address, instance, matchIndex }) => ({ id, role, address, instance, behind: matchIndex === null ? null : leader.lastIndex - matchIndex }))))
    })
  members.command('add <address>')
    .description('add a running control process with an empty data folder; it becomes a voter once its log has caught up')
    .option('--replace <id>', 'member to remove as soon as the new one is a voter')
    .action(async (address: string, options: { replace?: string }) => {
      const ctl = session()
      const identity = await ctl.callProcess(address, (calls, signal) => calls.identity.mutate({}, { signal }))
      const message = await ctl.call((calls, signal) => calls.addMember.mutate({ member: { ...identity, address }, replaces: options.replace ?? null }, { signal }))
      print({ message }, ctl.isJson, [message])
    })
  members.command('remove <id>')
    .description('remove a member, for instance after the loss of its disk')
    .action(async (id: string) => {
      const ctl = session()
      await ctl.call((calls, signal) => calls.removeMember.mutate({ id }, { signal }))
      print({ removed: id }, ctl.isJson, [`Member ${id} was removed.`])
    })
}

async function init (ctl: CtlSession): Promise<void> {
  const members = await Promise.all(ctl.addresses.map(async (address) => ({ ...await ctl.callProcess(address, (calls, signal) => calls.identity.mutate({}, { signal })), address })))
  const statuses = await Promise.all(ctl.addresses.map((address) => ctl.callProcess(address, (calls, signal) => calls.status.mutate({}, { signal }))))
  const usedMember = statuses.find((each) => each.lastIndex > 0)
  if (usedMember !== undefined) throw new CommandError(`Member ${usedMember.id} already belongs to a group.`, EXIT_CODES.failed)
  const ids = new Set(members.map((member) => member.id))
  if (ids.size < members.length) throw new CommandError('Expected control processes with distinct ids, but at least two have the same one.', EXIT_CODES.badInput)
  const first = ctl.addresses[0] ?? ''
  const reply = await ctl.callProcess(first, (calls, signal) => calls.init.mutate({ members }, { signal }))
  if (!reply.ok) throw new CommandError(reply.error.message, EXIT_CODES.failed)
  print({ members }, ctl.isJson, [`Formed a group of ${[...ids].join(', ')}.`])
}

type LeaderStatus = Awaited<ReturnType<typeof findLeaderStatus>>

async function findLeaderStatus (ctl: CtlSession) {
  const settled = await Promise.allSettled(ctl.addresses.map((address) => ctl.callProcess(address, (calls, signal) => calls.status.mutate({}, { signal }))))
  const statuses = settled.filter((each) => each.status === 'fulfilled').map((each) => each.value)
  const leader = statuses.filter((each) => each.role === 'leader').sort((a, b) => b.term - a.term)[0]
  if (leader !== undefined) return leader
  const leaderAddress = statuses.find((each) => each.leader !== null)?.leader?.address
  if (leaderAddress !== undefined) return await ctl.callProcess(leaderAddress, (calls, signal) => calls.status.mutate({}, { signal }))
  throw new CommandError(`No leader was found: ${statuses.length} of ${ctl.addresses.length} control processes answered, and none of them knows a leader.`, EXIT_CODES.unreachable)
}

async function status (ctl: CtlSession): Promise<void> {
  const leader: LeaderStatus = await findLeaderStatus(ctl)
  const fleet = await ctl.call((calls, signal) => calls.fleetStatus.mutate({}, { signal }))
  const { vms } = fleet
  print({ leader, fleet }, ctl.isJson, [
    `Leader ${leader.id}, term ${leader.term}, log ${leader.commitIndex} of ${leader.lastIndex}, configuration version ${fleet.version}.`,
    '',
    ...toTable(leader.members.map(({ id, role, address, matchIndex }) => ({ member: id, role, address, behind: matchIndex === null ? null : leader.lastIndex - matchIndex }))),
    '',
    ...toTable(fleet.entries.map(({ entry, rev, leaseMs }) => ({ entry, view: rev, lease_ms: leaseMs }))),
    '',
    `VMs: ${vms.total} in total, ${vms.up} up, ${vms.lost} lost, ${vms.absent} not announced, ${vms.draining} draining, ${vms.rebooting} rebooting.`,
    '',
    ...toTable(fleet.budgets.map(({ name, vms: count, down, maxDown }) => ({ budget: name, vms: count, down, allowed: maxDown }))),
    '',
    ...toTable(fleet.waves.map(({ id, state, reason, pending, active, done }) => ({ wave: id, state, reason, pending: pending.length, active: active.length, done: done.length })))
  ])
}
