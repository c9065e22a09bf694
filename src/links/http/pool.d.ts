/** Declares the module of undici that is loaded without the rest of the library. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici'
  export default Pool
}
