/** Yields the integers from 0 up to, but not including, `count`. */
export function* range(count: number): Generator<number> {
  for (let i = 0; i < count; i++) yield i;
}
