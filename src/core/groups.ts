/**
 * Records of machines, many in one value: when hundreds come up at once, one key each would cost
 * the state service's changes of half a minute, and no work may be placed on them before.
 *
 * A late copy of an older write must not take machines out of a group again, so each write is
 * conditional on the mark that the group had.
 */
import type { Machine } from "./machine.js";
import { KEY, type Marked, type Records, type StoredGroup, type StoredMachine } from "./records.js";

export class Group {
  readonly entries = new Map<string, StoredMachine>();
  bytes = 2;
  version = 0;
  saved = 0;
  /** Machines in it of which no record is stored yet. */
  fresh = 0;
  /** Groups that took over machines of this one: they are stored before it is written without them. */
  readonly heirs: Group[] = [];

  constructor(
    readonly n: number,
    public mark: number,
  ) {}

  add(name: string, value: StoredMachine): void {
    this.entries.set(name, value);
    this.bytes += JSON.stringify(value).length + name.length + 4;
  }

  toStored(): StoredGroup {
    return Object.fromEntries(this.entries);
  }
}

export class Groups {
  private readonly groups: Group[] = [];
  private readonly of = new Map<string, Group>();

  constructor(private maxBytes: number) {}

  load(stored: ReadonlyMap<number, Marked<StoredGroup>>): void {
    const large: Group[] = [];
    for (const [n, { value, mark }] of stored) {
      const g = new Group(n, mark);
      for (const [name, m] of Object.entries(value)) {
        // In two groups after a cut that was not finished: one is enough.
        if (this.of.has(name)) g.version++;
        else {
          g.add(name, m);
          this.of.set(name, g);
        }
      }
      this.groups.push(g);
      if (g.bytes > 1.5 * this.maxBytes) large.push(g);
    }
    for (const g of large) this.cut(g);
  }

  /**
   * Stored when values might be larger: what is too much goes to new groups. Those are stored first, so
   * that each machine stands in some group at any moment.
   */
  private cut(g: Group): void {
    const entries = [...g.entries];
    g.entries.clear();
    g.bytes = 2;
    let into = g;
    for (const [name, m] of entries) {
      if (into.bytes >= this.maxBytes) {
        into = this.newGroup();
        into.version++;
        g.heirs.push(into);
      }
      into.add(name, m);
      this.of.set(name, into);
    }
    g.version++;
  }

  /** The state service takes no larger values: groups that may not fit are cut when they are written next. */
  setMaxBytes(maxBytes: number): void {
    this.maxBytes = maxBytes;
    for (const g of [...this.groups]) {
      if (g.bytes > 1.5 * maxBytes && g.entries.size > 1) this.cut(g);
    }
  }

  private newGroup(): Group {
    const g = new Group(1 + Math.max(0, ...this.groups.map((x) => x.n)), 0);
    this.groups.push(g);
    return g;
  }

  has(name: string): boolean {
    return this.of.has(name);
  }

  add(m: Machine): void {
    if (this.of.has(m.name)) return;
    let g = this.groups.find((x) => x.bytes < this.maxBytes);
    g ??= this.newGroup();
    g.add(m.name, [m.address, m.type.name, m.zone, m.spot]);
    g.version++;
    g.fresh++;
    this.of.set(m.name, g);
  }

  /** The machine is of another kind than its record says. */
  correct(m: Machine): void {
    m.recordChanged = false;
    const g = this.of.get(m.name);
    if (g === undefined) return;
    g.bytes -= JSON.stringify(g.entries.get(m.name)).length + m.name.length + 4;
    g.add(m.name, [m.address, m.type.name, m.zone, m.spot]);
    g.version++;
  }

  remove(name: string, stored: boolean): void {
    const g = this.of.get(name);
    if (g === undefined) return;
    const value = g.entries.get(name)!;
    g.entries.delete(name);
    g.bytes -= JSON.stringify(value).length + name.length + 4;
    if (!stored) g.fresh--;
    g.version++;
    this.of.delete(name);
  }

  /** Groups to be written: those with new machines first, as work waits for them. */
  dirty(): Group[] {
    const out = this.groups.filter(
      (g) => g.version > g.saved && g.heirs.every((heir) => heir.saved > 0),
    );
    return out.sort((a, b) => b.fresh - a.fresh);
  }

  get urgent(): boolean {
    return this.groups.some((g) => g.fresh > 0);
  }

  /** A doubtful write was settled by a fresh read: the marks are the stored ones. */
  reread(records: Records): void {
    for (const g of this.groups) g.mark = records.groups.get(g.n)?.mark ?? 0;
  }

  key(g: Group): string {
    return KEY.group(g.n);
  }
}
