/** Settings of admission control: invalid values, the calendar at daylight-saving changes, and `peatsaddle check`. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { activePeriods, type Calendar } from "../src/admission/index.js";
import { DEFAULT_OPERATOR_SETTINGS, decodeOperatorSettings } from "../src/config/operator.js";
import { PROGRAM } from "./support/multi-process-cluster.js";
import { settingsText } from "./support/node-settings.js";

const SETTLEMENT = `
[admission]
enabled = true
window_ratio = 2
queue_ratio = 3
time_zone = Europe/Lisbon
[admission.calendar.settlement]
days = mon, tue,wed,thu,fri
from = 22:00
to = 06:00
team = tesouraria
class = settle-night
weight = 4
`;

test("admission control is disabled by default, and its settings are read from the INI file", () => {
  assert.equal(DEFAULT_OPERATOR_SETTINGS.admission.enabled, false);
  const { operator, faults, unknown } = decodeOperatorSettings(SETTLEMENT);
  assert.deepEqual([faults, unknown], [[], []]);
  assert.deepEqual(operator?.admission, {
    enabled: true,
    windowRatio: 2,
    queueRatio: 3,
    calendar: {
      timeZone: "Europe/Lisbon",
      periods: [
        {
          name: "settlement",
          days: [1, 2, 3, 4, 5],
          from: 22 * 60,
          to: 6 * 60,
          team: "tesouraria",
          class: "settle-night",
          weight: 4,
        },
      ],
    },
  });
});

test("each invalid value is reported as one fault that names its field", () => {
  const faultsOf = (body: string): readonly string[] =>
    decodeOperatorSettings(`[admission]\n${body}`).faults;
  const cases: [string, RegExp][] = [
    ["enabled = perhaps", /^admission\.enabled/],
    ["window_ratio = 0", /^admission\.window_ratio/],
    ["window_ratio = -1", /^admission\.window_ratio/],
    ["window_ratio =", /^admission\.window_ratio/],
    ["window_ratio = NaN", /^admission\.window_ratio/],
    ["queue_ratio = 1e308", /^admission\.queue_ratio/],
    ["queue_ratio = Infinity", /^admission\.queue_ratio/],
    ["time_zone = Atlantis/Centre", /^admission\.time_zone/],
    ["calendar = 3", /^admission\.calendar/],
    ["[admission.calendar.x]\nfrom = 25:00\nto = 06:00\nteam = a\nweight = 1", /calendar\.x\.from/],
    ["[admission.calendar.x]\nfrom = 24:30\nto = 06:00\nteam = a\nweight = 1", /calendar\.x\.from/],
    ["[admission.calendar.x]\nfrom = 01:00\nto = 06:00\nteam =\nweight = 1", /calendar\.x\.team/],
    [
      "[admission.calendar.x]\nfrom = 01:00\nto = 06:00\nteam = a\nweight = 0",
      /calendar\.x\.weight/,
    ],
    ["[admission.calendar.x]\nfrom = 01:00\nto = 06:00\nteam = a", /calendar\.x\.weight/],
    [
      "[admission.calendar.x]\ndays = mon,\nfrom = 01:00\nto = 06:00\nteam = a\nweight = 1",
      /x\.days/,
    ],
  ];
  for (const [body, expected] of cases) {
    const faults = faultsOf(body);
    assert.equal(faults.length, 1, `${body}: ${faults.join("; ")}`);
    assert.match(faults[0]!, expected);
  }
  assert.match(decodeOperatorSettings("admission = 1").faults[0]!, /^admission: not a section/);
  assert.deepEqual(decodeOperatorSettings("[admission]\nburst = 1").unknown, ["admission.burst"]);
});

test("the program exits with code 2 and one line per fault of a file, and check prints the settings in force", () => {
  const folder = mkdtempSync(join(tmpdir(), "peatsaddle-"));
  const writeFile = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const config = writeFile("settings.json", settingsText());
  const run = (...args: string[]) =>
    spawnSync(process.execPath, [PROGRAM, ...args], { encoding: "utf8" });
  const invalidFile = writeFile("bad.ini", "[admission]\nwindow_ratio = 0\ntime_zone = nowhere\n");
  const failedRun = run("--config", config, "--operator", invalidFile);
  assert.equal(failedRun.status, 2);
  assert.deepEqual(
    failedRun.stderr
      .trim()
      .split("\n")
      .map((line) => line.split(":")[0]),
    ["admission.window_ratio", "admission.time_zone"],
  );
  const validFile = writeFile("good.ini", SETTLEMENT);
  const checkRun = run("check", "--config", config, "--operator", validFile);
  assert.equal(checkRun.status, 0, checkRun.stderr);
  assert.equal(JSON.parse(checkRun.stdout).operator.admission.queueRatio, 3);
});

const CALENDAR: Calendar = {
  timeZone: "Europe/Lisbon",
  periods: [
    { name: "night", days: [6, 7], from: 22 * 60, to: 6 * 60, team: "t", class: null, weight: 2 },
    { name: "skipped", days: [7], from: 90, to: 120, team: "t", class: null, weight: 2 },
    { name: "day", days: [3], from: 0, to: 24 * 60, team: "t", class: null, weight: 2 },
  ],
};
const activeAt = (utc: string): string[] =>
  activePeriods(CALENDAR, Date.parse(utc)).map((period) => period.name);

test("calendar periods follow the local time of the time zone, past midnight and at daylight-saving changes", () => {
  // In winter, local time in Lisbon is UTC. Saturday's period extends into Sunday morning; Friday has no period.
  assert.deepEqual(activeAt("2026-01-10T21:59:59Z"), []);
  assert.deepEqual(activeAt("2026-01-10T22:00:00Z"), ["night"]);
  assert.deepEqual(activeAt("2026-01-11T05:59:59Z"), ["night"]);
  assert.deepEqual(activeAt("2026-01-11T06:00:00Z"), []);
  assert.deepEqual(activeAt("2026-01-10T05:00:00Z"), []);
  // In summer, the period begins an hour earlier in UTC.
  assert.deepEqual(activeAt("2026-07-11T21:00:00Z"), ["night"]);
  // On 29 March, clocks go from 01:00 to 02:00, so the night is an hour shorter.
  assert.deepEqual(activeAt("2026-03-29T04:59:59Z"), ["night"]);
  assert.deepEqual(activeAt("2026-03-29T05:00:00Z"), []);
  // On 25 October, the hour from 01:00 to 02:00 occurs twice, so the night is an hour longer.
  assert.deepEqual(activeAt("2026-10-24T20:59:59Z"), []);
  assert.deepEqual(activeAt("2026-10-24T21:00:00Z"), ["night"]);
  assert.deepEqual(activeAt("2026-10-25T05:59:59Z"), ["night"]);
  assert.deepEqual(activeAt("2026-10-25T06:00:00Z"), []);
  // A period of a whole day lasts until midnight.
  assert.deepEqual(activeAt("2026-01-14T00:00:00Z"), ["day"]);
  assert.deepEqual(activeAt("2026-01-14T23:59:59Z"), ["day"]);
  assert.deepEqual(activeAt("2026-01-15T00:00:00Z"), []);
});
