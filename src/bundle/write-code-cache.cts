/** The last step of `npm run bundle`, run with the flags that the program will run with. */
import { writeCodeCache } from "./bundle.cjs";

writeCodeCache();
